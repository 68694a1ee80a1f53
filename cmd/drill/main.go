// Command drill runs instances of package policy for the simulator. It reads batches of events in
// the simulator's protocol from standard input and writes a reply to each batch to standard output.
// Instances share no state.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"dahliarudder/internal/wire"
	"dahliarudder/policy"
)

// host holds the running instances of the simulator. It implements wire.Host.
type host struct {
	instances map[uint16]*policy.Balancer
	encoder   *wire.Encoder
}

func (h *host) Launch(instance uint16, now time.Duration, seed uint64, set policy.Settings) {
	b := policy.New(set, seed, h.encoder)
	h.instances[instance] = b
	b.Start()
}

func (h *host) Stop(instance uint16) { delete(h.instances, instance) }

func (h *host) Instance(instance uint16) *policy.Balancer { return h.instances[instance] }

// bufferSize is the size of the buffers for standard input and output, in bytes.
const bufferSize = 1 << 20

// run answers batches from in until its end.
func run(in io.Reader, out io.Writer) error {
	w := bufio.NewWriterSize(out, bufferSize)
	encoder := wire.NewEncoder(w)
	decoder := wire.NewDecoder(bufio.NewReaderSize(in, bufferSize), encoder)
	h := &host{instances: map[uint16]*policy.Balancer{}, encoder: encoder}
	for {
		if err := decoder.Next(h); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if err := encoder.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("flush reply: %w", err)
		}
	}
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
