// Command 1 is a case of the review: a relay with a store of record in PostgreSQL, and a few bad clients
// that send the same thing again as soon as they are turned away.
package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"dahliarudder/internal/fakes"
	"dahliarudder/review/standin"
)

const (
	badClients = 4
	length     = 95 * time.Second // of the disruption, at most
	calmLength = 30 * time.Second // of a run without it
	soundRate  = 2                // new connections a second of sound clients
	soundLife  = 6 * time.Second  // of a sound connection
)

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseFloat(fields[0], 64)
	return kb / 1024
}

// tally counts what clients got.
type tally struct{ up, busy, other atomic.Int64 }

func (t *tally) String() string {
	return fmt.Sprintf("%d UP, %d BUSY, %d other", t.up.Load(), t.busy.Load(), t.other.Load())
}

// open sends one request, and keeps its connection for life if it is served. The client sends a line
// every 2 s. It returns the first answer.
func open(listen string, id uint64, life time.Duration, t *tally) (answer string) {
	conn, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		t.other.Add(1)
		time.Sleep(100 * time.Millisecond)
		return err.Error()
	}
	defer conn.Close()
	fmt.Fprintf(conn, "OPEN %016x 7f3a9c21e0b4d655 c=pay-status,t=water,d=2000,g=%016x\r\n", id, id%64)
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	in := bufio.NewReader(conn)
	line, _ := in.ReadString('\n')
	switch {
	case strings.HasPrefix(line, "UP "):
		t.up.Add(1)
	case strings.HasPrefix(line, "BUSY"):
		t.busy.Add(1)
		return line
	default:
		t.other.Add(1)
		return line
	}
	for end := time.Now().Add(life); time.Now().Before(end); time.Sleep(2 * time.Second) {
		fmt.Fprintf(conn, "STATUS\r\n")
	}
	fmt.Fprintf(conn, "END\r\n")
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	answer = line
	for line = ""; line != "BYE" && err == nil; line = strings.Fields(line + " ?")[0] {
		line, err = in.ReadString('\n')
	}
	return answer
}

func main() {
	c := standin.New("1")
	var entries []fakes.Entry
	for i := range 4 {
		m := fakes.NewMember(fmt.Sprintf("s-7100000%d", i))
		at, err := m.Open("relay")
		c.Must(err)
		entries = append(entries, fakes.Entry{ID: m.ID, Addr: at, Zone: "kirkton", Kind: "fast-pair", Lifecycle: fakes.Serving, Weight: 1})
	}
	discovery := fakes.NewDiscovery(entries...)
	at, err := discovery.Open("relay", nil)
	c.Must(err)
	record, err := standin.NewPostgres()
	c.Must(err)
	config := c.Config("deploy/nats.json")
	listen := c.FreeAddr()
	config["listen"], config["discovery"], config["operator"], config["known"] = listen, at, "", discovery.Snapshot(nil)
	config["store"] = map[string]any{"driver": "postgres", "dsn": record.DSN()}
	delete(config, "fronts")
	limit := config["limits"].(map[string]any)["memory_mb"].(float64)
	relay := c.StartRelay("relay", c.WriteConfig("relay", config), "")
	if !standin.WaitFor(10*time.Second, func() bool {
		conn, err := net.Dial("tcp", listen)
		if err == nil {
			conn.Close()
		}
		return err == nil
	}) {
		c.NotRun("the relay does not listen")
	}
	time.Sleep(time.Second)
	sound, bad := &tally{}, &tally{}
	var stop atomic.Bool
	go func() {
		for id := uint64(1); !stop.Load(); id++ {
			go func() {
				c.Logf("sound client %016x: OPEN -> %q", id, open(listen, id, soundLife, sound))
			}()
			time.Sleep(time.Second / soundRate)
		}
	}()
	time.Sleep(3 * time.Second)
	until := time.Now().Add(calmLength)
	if c.Trouble {
		until = time.Now().Add(length)
		c.Logf("%d bad clients begin", badClients)
		for n := range badClients {
			go func() {
				for id := uint64(n+1) << 40; !stop.Load(); id++ {
					open(listen, id, 0, bad)
				}
			}()
		}
	}
	for next := time.Now(); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		memory := residentMB(relay.Pid())
		if relay.HasEnded() {
			c.Broken("the relay has ended")
			break
		}
		if memory > limit || time.Now().After(next) {
			c.Logf("the relay has %.0f MiB of %.0f; sound clients got %v; bad clients got %v; the record has %d requests and %d attempts",
				memory, limit, sound, bad, len(record.Rows("requests")), len(record.Rows("attempts")))
			next = time.Now().Add(time.Second)
		}
		if memory > limit {
			c.Broken("the relay has %.1f MiB, over its memory_mb of %.0f: the platform kills it", memory, limit)
			break
		}
	}
	stop.Store(true)
	if len(record.Rows("requests")) == 0 {
		c.NotRun("nothing was recorded")
	}
	relay.Signal(syscall.SIGTERM)
	relay.WaitEnd(7 * time.Second)
	c.Finish()
}
