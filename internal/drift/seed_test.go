package drift

import "flag"

// Uses a fixed seed for the property tests, so that every run draws the same values and results are
// reproducible. The flag -rapid.seed selects another seed.
func init() { flag.Set("rapid.seed", "1") }
