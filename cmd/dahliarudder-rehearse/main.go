// Command dahliarudder-rehearse plays a rehearsal; "dahliarudder rehearse" puts it in its own place. It is a program of its own so
// that the relay does not carry what draws plots.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"dahliarudder/internal/scenario"
	"dahliarudder/internal/scenariorunner"
)

// errBroken makes the exit code say that a rule was broken or a play was not valid.
var errBroken = errors.New("a rule was broken, or a play was not valid")

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "rehearse:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var seed uint64
	var repetitions, seeds, relays, members int
	var clients float64
	var program, out, keep string
	var check bool
	c := &cobra.Command{
		Use:           "dahliarudder rehearse FILE",
		Short:         "Start many relays with stand-ins for all around them, break things, and say what clients got",
		Args:          cobra.ExactArgs(1),
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			f, err := scenario.Decode(text)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if seed != 0 {
				f.Seed = seed
			}
			if f.Seed == 0 {
				f.Seed = uint64(os.Getpid())
			}
			if repetitions > 0 {
				f.Repetitions = repetitions
			}
			if seeds > 0 {
				f.Seeds = seeds
			}
			if err := f.Resize(relays, members, clients); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			work := keep
			if work == "" {
				if work, err = os.MkdirTemp("", "rehearsal-"); err != nil {
					return err
				}
			}
			if work, err = filepath.Abs(work); err != nil {
				return err
			}
			r := &scenariorunner.Rehearsal{File: f, Dir: filepath.Dir(args[0]), Program: program, Work: work,
				Say: teller(cmd.ErrOrStderr())}
			for _, v := range f.Variants {
				if _, _, err := r.Settings(v); err != nil {
					return fmt.Errorf("%s: %w", args[0], err)
				}
			}
			if check {
				cmd.Printf("%s: the rehearsal is sound\n", args[0])
				return nil
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			all, err := r.All(ctx)
			if err != nil {
				return err
			}
			scenariorunner.Table(cmd.OutOrStdout(), all)
			base := out
			if base == "" {
				base = strings.TrimSuffix(filepath.Base(args[0]), filepath.Ext(args[0])) + "-result"
			}
			if err := errors.Join(scenariorunner.WriteJSON(base+".json", all), scenariorunner.WritePage(base+".html", f.About, all)); err != nil {
				return err
			}
			cmd.Printf("%s.html and %s.json hold the rest\n", base, base)
			bad := false
			for _, x := range all {
				bad = bad || len(x.Broken) > 0 || x.Invalid != ""
			}
			if bad {
				return fmt.Errorf("%w; the relays' logs are below %s", errBroken, work)
			}
			if keep == "" {
				return os.RemoveAll(work)
			}
			return nil
		},
	}
	c.SetOut(os.Stdout)
	c.Flags().Uint64Var(&seed, "seed", 0, "of all that is drawn (default: the file's)")
	c.Flags().IntVar(&repetitions, "repetitions", 0, "of each draw (default: the file's)")
	c.Flags().IntVar(&seeds, "seeds", 0, "how many draws, from the seed on (default: the file's)")
	c.Flags().IntVar(&relays, "relays", 0, "how many (default: the file's)")
	c.Flags().IntVar(&members, "members", 0, "how many (default: the file's)")
	c.Flags().Float64Var(&clients, "clients", 0, "as many times the file's clients")
	c.Flags().StringVar(&program, "program", beside("dahliarudder"), "the relay")
	c.Flags().StringVar(&out, "out", "", "name of the JSON file and the page, without its ending (default: the file's name and -result, here)")
	c.Flags().StringVar(&keep, "keep", "", "directory for the relays' files and logs (default: a new one, removed if all went well)")
	c.Flags().BoolVar(&check, "check", false, "say whether the file can be used, and no more")
	return c
}

// beside is a program in the directory of this one.
func beside(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}

// teller writes what a rehearsal says. A line that is written over on a terminal comes as a line of its own elsewhere.
func teller(to io.Writer) func(format string, a ...any) {
	if f, ok := to.(*os.File); ok && isatty.IsTerminal(f.Fd()) {
		return func(format string, a ...any) { fmt.Fprintf(to, format, a...) }
	}
	return func(format string, a ...any) {
		line := strings.TrimRight(strings.TrimLeft(fmt.Sprintf(format, a...), "\r\n"), " \r\n")
		if line != "" {
			fmt.Fprintln(to, line)
		}
	}
}
