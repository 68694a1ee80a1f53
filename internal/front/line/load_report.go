package line

import (
	"strconv"
	"strings"

	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// parseReport parses a load report, `name=value,name=value`. It skips values that are not numbers,
// and returns policy.NoReport for an empty text.
func parseReport(text string) policy.Report {
	if text == "" {
		return policy.NoReport
	}
	values := map[string]float64{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] = v
		}
	}
	return settings.Report(values)
}
