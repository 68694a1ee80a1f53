package gossiptransport

import (
	"errors"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/gossip"
	"dahliarudder/internal/netloop"
)

// dialProbe connects once to a relay that does not answer. A connection that is refused shows that no process is there; one that
// comes up shows nothing, since a stopped process has one too.
type dialProbe struct {
	service     *Service
	conn        *netloop.Conn
	name        string
	incarnation uint64
}

// startDialProbe dials a relay and reports to the membership if it is refused.
func (s *Service) startDialProbe(addr string, u gossip.Update) {
	d := &dialProbe{service: s, name: u.Name, incarnation: u.Incarnation}
	d.conn = s.Loop.Dial(addr, dialProbeTimeout, d)
}

// Open implements netloop.Handler: something listens there.
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

// closeHandler is the handler of the probes that others dial: that the connection came up was the answer.
type closeHandler struct{}

func (closeHandler) Open()             {}
func (closeHandler) Data(b []byte) int { return len(b) }
func (closeHandler) Drained()          {}
func (closeHandler) End(error)         {}
