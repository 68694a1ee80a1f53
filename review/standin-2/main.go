// Command standin-2 plays the cases 6 to 10 of the review: it starts the project's programs as
// processes of their own, takes the part of clients, members, discovery, the store's database and
// callers, and judges what these can see. See REPORT-2.md.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnusable = 2
)

// timeLimit ends a case that takes too long, as one that could not run.
const timeLimit = 115 * time.Second

// errUnusable is wrapped by the errors of cases that could not run.
var errUnusable = errors.New("the case could not run")

func unusable(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errUnusable, fmt.Sprintf(format, args...))
}

// play is one run of a case.
type play struct {
	trouble bool   // whether the disruption takes place
	dir     string // temporary folder
	start   time.Time

	mu       sync.Mutex
	record   *os.File
	cleanups []func()
	ended    bool
}

// logf writes a line to record.txt, with the time since the start of the run.
func (p *play) logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%9.3f %s\n", time.Since(p.start).Seconds(), fmt.Sprintf(format, args...))
}

// atEnd registers what ends something that the run has started.
func (p *play) atEnd(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cleanups = append(p.cleanups, f)
}

// end ends all that the run has started, the latest first.
func (p *play) end() {
	p.mu.Lock()
	cleanups := p.cleanups
	p.cleanups, p.ended = nil, true
	p.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.RemoveAll(p.dir)
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*play) (broken bool, err error){
	"pick":    playPick,
	"lost":    playLost,
	"restart": playRestart,
	"reports": playReports,
	"liar":    playLiar,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage, from the root of the repository: standin-2 CASE FOLDER")
		return exitUnusable
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", dir: dir, start: time.Now(), record: record}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	p.logf("case %s, disruption %v", os.Args[1], p.trouble)
	go func() {
		broken, err := cases[os.Args[1]](p)
		done <- outcome{broken, err}
	}()
	var result outcome
	select {
	case result = <-done:
	case <-interrupted:
		result.err = unusable("interrupted")
	case <-time.After(timeLimit):
		result.err = unusable("it took over %v", timeLimit)
	}
	p.end()
	switch {
	case result.err != nil:
		p.logf("VERDICT none: %v", result.err)
		fmt.Fprintln(os.Stderr, result.err)
		return exitUnusable
	case result.broken:
		p.logf("VERDICT the rule was broken")
		return exitBroken
	}
	p.logf("VERDICT the rule held")
	return exitHeld
}
