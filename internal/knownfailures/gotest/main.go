// Command gotest runs a go test command and judges it against a list of tests that are known to fail
// (package knownfailures).
//
//	gotest LIST COMMAND
//
// LIST is the path of the list; a missing file is an empty list. COMMAND is one line of shell that
// begins with "go test ". Gotest prints what go test prints without -json, then the results of the
// listed tests. It exits with 0 if no test failed except listed ones, otherwise with 1.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"strings"

	"dahliarudder/internal/knownfailures"
)

const commandPrefix = "go test "

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: gotest LIST COMMAND")
		os.Exit(1)
	}
	passes, err := run(os.Args[1], os.Args[2], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || !passes {
		os.Exit(1)
	}
}

func run(list, command string, out io.Writer) (passes bool, err error) {
	arguments, ok := strings.CutPrefix(command, commandPrefix)
	if !ok || strings.Contains(command, "\n") {
		return false, fmt.Errorf("%q is not one go test command", command)
	}
	entries, err := readList(list)
	if err != nil {
		return false, err
	}
	if err := checkExist(entries); err != nil {
		return false, err
	}
	testRun := knownfailures.NewRun()
	exit, err := runCommand("go test -json "+arguments, func(line string) { testRun.AddLine(line, out) })
	if err != nil {
		return false, err
	}
	testRun.Finish(out)
	passes, report := testRun.Judge(entries, exit)
	if !passes {
		fmt.Fprintln(out, "FAIL")
	}
	for _, line := range report {
		fmt.Fprintln(out, line)
	}
	return passes, nil
}

func readList(list string) ([]knownfailures.Entry, error) {
	text, err := os.ReadFile(list)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return knownfailures.Parse(string(text))
}

// checkExist returns an error if a listed test does not exist or its package's tests cannot be listed.
func checkExist(entries []knownfailures.Entry) error {
	for _, entry := range entries {
		list := exec.Command("go", "test", "-list", "^"+entry.Test+"$", entry.Package)
		list.Stderr = os.Stderr
		listing, err := list.Output()
		if err != nil {
			return fmt.Errorf("known failures: the tests of %s cannot be listed: %w: %s", entry.Package, err, listing)
		}
		if !entry.Exists(string(listing)) {
			return fmt.Errorf("known failures: %s does not exist", entry.Name)
		}
	}
	return nil
}

// runCommand runs a shell command, calls handleLine with each line of its standard output, and
// returns its exit code.
func runCommand(command string, handleLine func(line string)) (exit int, err error) {
	shell := exec.Command("sh", "-c", command)
	shell.Stderr = os.Stderr
	output, err := shell.StdoutPipe()
	if err != nil {
		return 0, err
	}
	if err := shell.Start(); err != nil {
		return 0, err
	}
	lines := bufio.NewReader(output)
	for {
		line, err := lines.ReadString('\n')
		if line != "" {
			handleLine(strings.TrimSuffix(line, "\n"))
		}
		if err != nil {
			break
		}
	}
	err = shell.Wait()
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		return exitErr.ExitCode(), nil
	}
	return 0, err
}
