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
	sigs := catchSignals() // first, since until then a SIGHUP would end the process
	log := logrus.New()
	log.SetOutput(os.Stderr)
	err := command(log, sigs).Execute()
	var ordered orderedExit
	switch {
	case errors.As(err, &ordered):
		os.Exit(int(ordered))
	case err != nil:
		log.Error(err)
		os.Exit(1)
	}
}

// serveName is the name of the only sub-command that handles signals itself.
const serveName = "serve"

// loadUnlessStopped loads the configuration. If SIGTERM or SIGINT comes first, it returns a nil
// configuration and no error: no client has been served yet, so the process can simply end.
func loadUnlessStopped(load func() (*config.Config, error), sigs *signals) (*config.Config, error) {
	type loaded struct {
		config *config.Config
		err    error
	}
	done := make(chan loaded, 1)
	go func() {
		c, err := load()
		done <- loaded{c, err}
	}()
	select {
	case l := <-done:
		return l.config, l.err
	case <-sigs.stop:
		return nil, nil
	}
}

// command returns the root command. Every sub-command except serve leaves signals to their default
// actions.
func command(log *logrus.Logger, sigs *signals) *cobra.Command {
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
	root.PersistentPreRun = func(cmd *cobra.Command, _ []string) {
		if verbose {
			log.SetLevel(logrus.DebugLevel)
		}
		if cmd.Name() != serveName {
			sigs.release()
		}
	}
	load := func() (*config.Config, error) { return config.Load(path, os.Getenv) }
	reload := func(old *config.Config) (*config.Config, error) { return old.Reload(path, os.Getenv) }
	root.AddCommand(serveCommand(load, reload, sigs, log), checkCommand(load), versionCommand())
	root.AddCommand(keysCommand(), scenarioCommand())
	root.SetOut(os.Stdout)
	return root
}

func serveCommand(load func() (*config.Config, error), reload func(*config.Config) (*config.Config, error), sigs *signals,
	log *logrus.Logger) *cobra.Command {
	return &cobra.Command{
		Use:   serveName,
		Short: "Run the relay until SIGTERM; SIGHUP reads the configuration again",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			c, err := loadUnlessStopped(load, sigs)
			if err != nil || c == nil {
				return err
			}
			return serve(c, reload, sigs, log)
		},
	}
}

func checkCommand(load func() (*config.Config, error)) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check the configuration and report settings with which the relay cannot work",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := load()
			if err != nil {
				return err
			}
			if err := errors.Join(c.Decoded().Validate()...); err != nil {
				return fmt.Errorf("%w:\n%w", config.ErrInvalid, err)
			}
			cmd.Printf("%s: the configuration is sound\n", c.Name)
			if c.Fleet != nil { // a fleet release names a configuration by its digest
				cmd.Printf("%s: its digest is %s\n", c.Name, c.Digest())
			}
			return nil
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
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
	}
}

// version is the latest version in CHANGELOG.md.
const version = "0.1.0"
