// Command dahliarudder-scenario runs a fault scenario. Operators start it as "dahliarudder scenario",
// which executes this program in its place, so that the relay itself does not link the plotting
// library that the reports need.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "scenario:", err)
		os.Exit(1)
	}
}
