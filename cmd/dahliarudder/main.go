// Command dahliarudder is a relay that places long-lived connections on pool
// members.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"dahliarudder/internal/config"
)

func main() {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	err := command(log).Execute()
	var ordered orderedExit
	switch {
	case errors.As(err, &ordered):
		os.Exit(int(ordered))
	case err != nil:
		log.Error(err)
		os.Exit(1)
	}
}

func command(log *logrus.Logger) *cobra.Command {
	root := &cobra.Command{
		Use:           "dahliarudder",
		Short:         "A relay that places long-lived connections on pool members",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	var path string
	var verbose bool
	root.PersistentFlags().StringVarP(&path, "config", "c", os.Getenv("EDGE_CONFIG"),
		"configuration file (default: the value of EDGE_CONFIG)")
	root.PersistentFlags().BoolVarP(&verbose, "verbose", "v", false, "log details")
	root.PersistentPreRun = func(*cobra.Command, []string) {
		if verbose {
			log.SetLevel(logrus.DebugLevel)
		}
	}
	load := func() (*config.Config, error) { return config.Load(path, os.Getenv) }
	root.AddCommand(&cobra.Command{
		Use:   "serve",
		Short: "Run the relay until SIGTERM; SIGHUP reads the configuration again",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			c, err := load()
			if err != nil {
				return err
			}
			again := func(old *config.Config) (*config.Config, error) { return old.Reload(path, os.Getenv) }
			return serve(c, again, log)
		},
	}, &cobra.Command{
		Use:   "check",
		Short: "Say whether the configuration can be used, and which settings cannot work",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := load()
			if err != nil {
				return err
			}
			if err := errors.Join(c.Decoded().Problems()...); err != nil {
				return fmt.Errorf("%w:\n%w", config.ErrInvalid, err)
			}
			cmd.Printf("%s: the configuration is sound\n", c.Name)
			if c.Fleet != nil { // what a release of it names
				cmd.Printf("%s: its digest is %s\n", c.Name, c.Digest())
			}
			return nil
		},
	}, &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			toolchain := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				toolchain = info.GoVersion
			}
			cmd.Printf("dahliarudder %s (%s)\n", version, toolchain)
		},
	})
	root.AddCommand(keysCommand(), rehearseCommand())
	root.SetOut(os.Stdout)
	return root
}

// version is the newest one in CHANGELOG.md.
const version = "0.1.0"
