// Command drill hosts instances of the decision module on the simulator's
// wire: batches of events on standard input, a reply to each on standard
// output. Instances share nothing.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"

	"dahliarudder/internal/wire"
	"dahliarudder/policy"
)

type host struct {
	instances map[uint16]*policy.Balancer
	out       *wire.Encoder
}

func (h *host) Launch(inst uint16, now time.Duration, seed uint64, set policy.Settings) {
	b := policy.New(set, seed, h.out)
	h.instances[inst] = b
	b.Start()
}

func (h *host) Stop(inst uint16) { delete(h.instances, inst) }

func (h *host) Instance(inst uint16) *policy.Balancer { return h.instances[inst] }

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	w := bufio.NewWriterSize(out, 1<<20)
	enc := wire.NewEncoder(w)
	dec := wire.NewDecoder(bufio.NewReaderSize(in, 1<<20), enc)
	h := &host{instances: map[uint16]*policy.Balancer{}, out: enc}
	for {
		if err := dec.Next(h); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		if err := enc.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
