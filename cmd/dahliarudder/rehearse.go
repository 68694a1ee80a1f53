package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// rehearseCommand puts the program that rehearses, which stands beside this one, in the place of this process: the relay does not
// carry what draws plots.
func rehearseCommand() *cobra.Command {
	return &cobra.Command{
		Use:                "rehearse FILE",
		Short:              "Start many relays with stand-ins for all around them, break things, and say what clients got",
		DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			path := filepath.Join(filepath.Dir(self), "dahliarudder-rehearse")
			if err := syscall.Exec(path, append([]string{path}, args...), os.Environ()); err != nil {
				return fmt.Errorf("%s: %w; the build makes it beside this program", path, err)
			}
			return nil
		},
	}
}
