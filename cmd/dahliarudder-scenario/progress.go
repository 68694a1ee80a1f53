package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/mattn/go-isatty"
)

// progressPrinter returns a function that prints a run's progress to a writer. Lines that are
// overwritten in place on a terminal are printed as separate lines elsewhere.
func progressPrinter(to io.Writer) func(format string, args ...any) {
	if f, ok := to.(*os.File); ok && isatty.IsTerminal(f.Fd()) {
		return func(format string, args ...any) { fmt.Fprintf(to, format, args...) }
	}
	return func(format string, args ...any) {
		line := strings.TrimRight(strings.TrimLeft(fmt.Sprintf(format, args...), "\r\n"), " \r\n")
		if line != "" {
			fmt.Fprintln(to, line)
		}
	}
}
