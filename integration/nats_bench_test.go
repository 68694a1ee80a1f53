package integration

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/nats-io/nats.go"

	"dahliarudder/internal/fakes"
)

// benchDirectAndRelay runs a benchmark twice: with clients of the nodes, and with clients of a relay
// in front of the same nodes. r is nil in the first run.
func benchDirectAndRelay(b *testing.B, run func(b *testing.B, url string, r *relay)) {
	k, err := fakes.NewNATSCluster(3)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(k.Close)
	r := natsRelay(b, k, nil)
	b.Cleanup(r.stop)
	b.Run("direct", func(b *testing.B) { run(b, "nats://"+k.Nodes[0].Addr, nil) })
	b.Run("relay", func(b *testing.B) { run(b, "nats://"+r.addrs["nats"], r) })
}

func benchClients(b *testing.B, url string, n int) []*nats.Conn {
	b.Helper()
	var all []*nats.Conn
	for range n {
		c, err := nats.Connect(url, nats.Timeout(eventTimeout), nats.ErrorHandler(func(_ *nats.Conn, _ *nats.Subscription, err error) {
			b.Error(err)
		}))
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(c.Close)
		all = append(all, c)
	}
	return all
}

// cpuTime returns the processor time that the relay's process has used.
func (r *relay) cpuTime() time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	w := strings.Fields(rest)
	user, _ := strconv.Atoi(w[11])
	system, _ := strconv.Atoi(w[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// residentMemory returns the resident memory of the relay's process in bytes.
func (r *relay) residentMemory() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	n, _ := strconv.Atoi(strings.Fields(rest)[0])
	return n << 10
}

// BenchmarkNATSPublish measures publications per second without and with a subscription for each
// client, that is without and with deliveries.
func BenchmarkNATSPublish(b *testing.B) {
	for _, delivered := range []bool{false, true} {
		for _, size := range []int{16, 128, 4096} {
			for _, clients := range []int{1, 16, 256} {
				name := "taken"
				if delivered {
					name = "delivered"
				}
				b.Run(fmt.Sprintf("%s/%dB/%d", name, size, clients), func(b *testing.B) {
					benchDirectAndRelay(b, func(b *testing.B, url string, r *relay) { benchPublish(b, url, r, delivered, size, clients) })
				})
			}
		}
	}
}

func benchPublish(b *testing.B, url string, r *relay, delivered bool, size, clients int) {
	all, payload := benchClients(b, url, clients), make([]byte, size)
	var deliveries atomic.Int64
	for i, c := range all {
		if delivered {
			s, err := c.Subscribe(fmt.Sprintf("feed.%d", i), func(*nats.Msg) { deliveries.Add(1) })
			if err != nil {
				b.Fatal(err)
			}
			s.SetPendingLimits(-1, -1)
		}
		c.Publish(fmt.Sprintf("feed.%d", i), payload)
		if err := c.FlushTimeout(eventTimeout); err != nil {
			b.Fatal(err)
		}
	}
	perClient := max(b.N/clients, 1)
	var cpuBefore time.Duration
	if r != nil {
		cpuBefore = r.cpuTime()
	}
	deliveries.Store(0)
	b.ResetTimer()
	var wait sync.WaitGroup
	for i, c := range all {
		wait.Go(func() {
			subject := fmt.Sprintf("feed.%d", i)
			for range perClient {
				c.Publish(subject, payload)
			}
			if err := c.FlushTimeout(2 * eventTimeout); err != nil {
				b.Error(err)
			}
		})
	}
	wait.Wait()
	if delivered {
		waitFor(b, "all deliveries", func() bool { return deliveries.Load() >= int64(perClient*clients) })
	}
	b.StopTimer()
	b.ReportMetric(float64(perClient*clients)/b.Elapsed().Seconds(), "msgs/s")
	if r != nil {
		b.ReportMetric(float64((r.cpuTime()-cpuBefore).Nanoseconds())/float64(perClient*clients), "cpu-ns/msg")
	}
}

// BenchmarkNATSRequest measures how long a request and its reply take, one request at a time.
func BenchmarkNATSRequest(b *testing.B) {
	benchDirectAndRelay(b, func(b *testing.B, url string, r *relay) {
		all := benchClients(b, url, 2)
		if _, err := all[0].Subscribe("ask", func(m *nats.Msg) { m.Respond(m.Data) }); err != nil {
			b.Fatal(err)
		}
		all[0].FlushTimeout(eventTimeout)
		var took []time.Duration
		b.ResetTimer()
		for range b.N {
			sent := time.Now()
			if _, err := all[1].Request("ask", []byte("0123456789abcdef"), eventTimeout); err != nil {
				b.Fatal(err)
			}
			took = append(took, time.Since(sent))
		}
		b.StopTimer()
		slices.Sort(took)
		b.ReportMetric(float64(took[len(took)/2].Nanoseconds())/1e3, "p50-us")
		b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds())/1e3, "p99-us")
	})
}

// BenchmarkNATSIdle measures the relay's memory for each client that has connected, has a subscription
// and sends nothing. The clients do without the NATS library, which would add its own memory to the
// test process.
func BenchmarkNATSIdle(b *testing.B) {
	for _, clients := range []int{1000, 7000} {
		b.Run(strconv.Itoa(clients), func(b *testing.B) {
			k, err := fakes.NewNATSCluster(3)
			if err != nil {
				b.Fatal(err)
			}
			defer k.Close()
			r := natsRelay(b, k, nil)
			before := r.residentMemory()
			for range b.N {
				var all []*client
				for i := range clients {
					c := r.natsDial()
					c.wantLine("INFO ")
					fmt.Fprintf(c, "CONNECT {\"verbose\":false,\"protocol\":1}\r\nSUB feed.%d 1\r\nPING\r\n", i)
					all = append(all, c)
				}
				for _, c := range all {
					c.wantLine("PONG")
				}
				b.ReportMetric(float64(r.residentMemory()-before)/float64(clients), "bytes/client")
				b.ReportMetric(float64(r.residentMemory())/(1<<20), "MiB")
				for _, c := range all {
					c.Close()
				}
			}
			r.stop()
		})
	}
}
