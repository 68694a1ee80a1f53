package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"dahliarudder/internal/scenario"
	"dahliarudder/internal/scenariorunner"
)

// errRunFailed is the error of a scenario that ran but whose results contain a violation or an
// invalid run.
var errRunFailed = errors.New("a relay broke a rule, or a run was invalid")

// options are the command's flags. A zero value keeps what the scenario file says.
type options struct {
	seed               uint64
	repetitions, seeds int
	relays, members    int
	clients            float64
	program            string
	output             string
	keepDir            string
	checkOnly          bool
}

func command() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:           "dahliarudder scenario FILE",
		Short:         "Start many relays among fakes of the systems around them, inject faults, and report what clients got",
		Args:          cobra.ExactArgs(1),
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          func(cmd *cobra.Command, args []string) error { return o.run(cmd, args[0]) },
	}
	c.SetOut(os.Stdout)
	c.Flags().Uint64Var(&o.seed, "seed", 0, "seed of all random choices (default: the file's)")
	c.Flags().IntVar(&o.repetitions, "repetitions", 0, "number of runs of each variant with each seed (default: the file's)")
	c.Flags().IntVar(&o.seeds, "seeds", 0, "number of consecutive seeds, beginning with --seed (default: the file's)")
	c.Flags().IntVar(&o.relays, "relays", 0, "number of relays (default: the file's)")
	c.Flags().IntVar(&o.members, "members", 0, "number of members (default: the file's)")
	c.Flags().Float64Var(&o.clients, "clients", 0, "factor by which the file's number of clients is multiplied (default: 1)")
	c.Flags().StringVar(&o.program, "program", siblingProgram("dahliarudder"), "path of the relay program")
	c.Flags().StringVar(&o.output, "out", "", "path of the JSON and HTML result files, without extension "+
		"(default: the scenario file's name with -result, in the working directory)")
	c.Flags().StringVar(&o.keepDir, "keep", "", "directory in which the relays' files and logs are kept "+
		"(default: a temporary one, removed if no rule was broken and every run was valid)")
	c.Flags().BoolVar(&o.checkOnly, "check", false, "validate the scenario file and exit")
	return c
}

// run runs the scenario file at path, or only validates it with --check.
func (o *options) run(cmd *cobra.Command, path string) error {
	f, err := o.load(path)
	if err != nil {
		return err
	}
	workDir, err := o.workDir()
	if err != nil {
		return err
	}
	r := &scenariorunner.Runner{File: f, Dir: filepath.Dir(path), Program: o.program, WorkDir: workDir,
		Progress: progressPrinter(cmd.ErrOrStderr())}
	for _, v := range f.Variants {
		if _, _, err := r.Settings(v); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	if o.checkOnly {
		cmd.Printf("%s: the scenario file is valid\n", path)
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	results, err := r.RunAll(ctx)
	if err != nil {
		return err
	}
	if err := o.report(cmd, path, f.About, results); err != nil {
		return err
	}
	for _, x := range results {
		if len(x.Violations) > 0 || x.Invalid != "" {
			return fmt.Errorf("%w; the relays' logs are below %s", errRunFailed, workDir)
		}
	}
	if o.keepDir == "" {
		return os.RemoveAll(workDir)
	}
	return nil
}

// load reads the file at path and applies the flags that override it.
func (o *options) load(path string) (*scenario.File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f, err := scenario.Decode(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if o.seed != 0 {
		f.Seed = o.seed
	}
	if f.Seed == 0 {
		f.Seed = uint64(os.Getpid())
	}
	if o.repetitions > 0 {
		f.Repetitions = o.repetitions
	}
	if o.seeds > 0 {
		f.Seeds = o.seeds
	}
	if err := f.Resize(o.relays, o.members, o.clients); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// workDir returns the absolute path of the directory for the relays' files and logs.
func (o *options) workDir() (string, error) {
	dir := o.keepDir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "scenario-"); err != nil {
			return "", err
		}
	}
	return filepath.Abs(dir)
}

// report prints the table and writes the JSON file and the page.
func (o *options) report(cmd *cobra.Command, path, about string, results []*scenariorunner.Result) error {
	scenariorunner.WriteTable(cmd.OutOrStdout(), results)
	base := o.output
	if base == "" {
		base = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)) + "-result"
	}
	if err := errors.Join(scenariorunner.WriteJSON(base+".json", results), scenariorunner.WritePage(base+".html", about, results)); err != nil {
		return err
	}
	cmd.Printf("full results are in %s.html and %s.json\n", base, base)
	return nil
}

// siblingProgram returns the path of a program in the same directory as this one.
func siblingProgram(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}
