package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// scenarioProgram is the program that runs scenario files. The build puts it in this program's
// directory.
const scenarioProgram = "dahliarudder-scenario"

// scenarioCommand returns the command that replaces this process by scenarioProgram, which is
// separate so that the relay does not link the plotting library of the reports. The alias is the
// command's earlier name, which operators' scripts use.
func scenarioCommand() *cobra.Command {
	return &cobra.Command{
		Use:                "scenario FILE",
		Aliases:            []string{"rehearse"},
		Short:              "Run many relays with fakes of the systems around them, inject faults, and report the clients' results",
		DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			path := filepath.Join(filepath.Dir(self), scenarioProgram)
			if err := syscall.Exec(path, append([]string{path}, args...), os.Environ()); err != nil {
				return fmt.Errorf("%s: %w; the build has to put it beside this program", path, err)
			}
			return nil
		},
	}
}
