package integration

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// withDeadlines returns the settings with other deadlines for the two classes, and target latencies of a
// quarter of them.
func withDeadlines(first, second time.Duration) json.RawMessage {
	return json.RawMessage(strings.NewReplacer(
		`"aim-ms":500,"deadline-ms":3000`, fmt.Sprintf(`"aim-ms":%d,"deadline-ms":%d`, first.Milliseconds()/4, first.Milliseconds()),
		`"aim-ms":500,"deadline-ms":2000`, fmt.Sprintf(`"aim-ms":%d,"deadline-ms":%d`, second.Milliseconds()/4, second.Milliseconds()),
	).Replace(settingsText))
}

// TestStopShortDeadlines: SIGKILL comes a fixed time after the longest deadline, so with short deadlines
// a shutdown has little time. During it clients keep writing on open flows, members hang, some in the
// middle of a line, and further signals arrive. Every client must get MOVE or its answer, and the
// process must end, before SIGKILL.
func TestStopShortDeadlines(t *testing.T) {
	for _, longest := range []time.Duration{600 * time.Millisecond, time.Second, 2 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel()
			s := newScriptedRig(t, 4, map[string]any{"settings": withDeadlines(longest, longest/2)})
			var flows []*client
			var hung []*client
			for n := range 12 {
				c := s.openWithDeadline(n, longest)
				a := s.nextAttempt()
				a.accept()
				c.wantLine("UP ")
				if n%4 == 3 { // the member of this flow hangs for good in the middle of a line
					a.write("GOT ha")
					if _, err := io.ReadFull(c.in, make([]byte, len("GOT ha"))); err != nil {
						t.Fatal(err)
					}
					hung = append(hung, c)
				} else {
					flows = append(flows, c)
				}
			}
			var unanswered []*client
			for n := range 4 { // no member answers these
				unanswered = append(unanswered, s.openWithDeadline(100+n, longest))
				s.nextAttempt()
			}
			since := s.terminate()
			kill := time.AfterFunc(time.Until(since.Add(longest+killMargin)), func() { s.cmd.Process.Kill() })
			defer kill.Stop()
			var writers sync.WaitGroup
			for _, c := range append(append([]*client(nil), flows...), hung...) {
				writers.Add(1)
				go func() {
					defer writers.Done()
					for _, err := fmt.Fprint(c, "a line\r\n"); err == nil; _, err = fmt.Fprint(c, "a line\r\n") {
						time.Sleep(time.Millisecond)
					}
				}()
			}
			for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
				s.cmd.Process.Signal(signal)
			}
			late := s.openWithDeadline(200, longest)
			late.wantLine("BUSY")
			for _, c := range flows {
				c.wantLine("MOVE")
			}
			for _, c := range unanswered {
				if answer := c.line(); !strings.HasPrefix(answer, "BUSY") && answer != "ERR" {
					t.Errorf("an unanswered request got %q, want BUSY or ERR", answer)
				}
			}
			for _, c := range hung { // MOVE cannot be sent in the middle of a line, so only an orderly close remains
				if line := c.line(); line != io.EOF.Error() {
					t.Errorf("a flow in the middle of a line got %q, want an orderly close", line)
				}
			}
			s.waitExit()
			took := time.Since(since)
			t.Logf("the process ended %v after SIGTERM", took.Round(time.Millisecond))
			writers.Wait()
			if took > longest+killMargin {
				t.Errorf("the process ended %v after SIGTERM, want at most %v", took, longest+killMargin)
			}
			s.checkAttempts()
		})
	}
}
