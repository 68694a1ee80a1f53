package gossiptransport

import (
	"errors"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/gossip"
	"dahliarudder/internal/netloop"
)

// dialProbe dials a relay that does not answer, once. A refused connection shows that no process is
// running there. An established one shows nothing, since the kernel also accepts connections for a
// stopped process.
type dialProbe struct {
	service     *Service
	conn        *netloop.Conn
	name        string
	incarnation uint64
}

// startDialProbe dials a relay and reports a refused connection to the membership.
func (s *Service) startDialProbe(addr string, u gossip.Update) {
	d := &dialProbe{service: s, name: u.Name, incarnation: u.Incarnation}
	d.conn = s.Loop.Dial(addr, dialProbeTimeout, d)
}

// Open implements netloop.Handler. The address accepts connections, so the probe is over.
func (d *dialProbe) Open() { d.conn.Finish() }

// Data implements netloop.Handler.
func (d *dialProbe) Data(b []byte) int { return len(b) }

// Drained implements netloop.Handler.
func (d *dialProbe) Drained() {}

// End implements netloop.Handler.
func (d *dialProbe) End(err error) {
	if errors.Is(err, unix.ECONNREFUSED) && !d.service.closed {
		d.service.membership.ConnectionRefused(d.service.Loop.Now(), d.name, d.incarnation)
		d.service.tick()
	}
	d.conn.Finish()
}

// closeHandler handles the connections of other relays' dial probes. The established connection is
// all that they need.
type closeHandler struct{}

func (closeHandler) Open()             {}
func (closeHandler) Data(b []byte) int { return len(b) }
func (closeHandler) Drained()          {}
func (closeHandler) End(error)         {}
