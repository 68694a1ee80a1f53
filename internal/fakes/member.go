package fakes

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// MemberMode is how a member answers.
type MemberMode string

// The modes of a member.
const (
	ModeHealthy      MemberMode = ""       // UP, and each line at once
	ModeBusy         MemberMode = "busy"   // first lines are answered with BUSY
	ModeErr          MemberMode = "err"    // first lines are answered with ERR
	ModeReset        MemberMode = "reset"  // first lines are answered with a reset
	ModeSilent       MemberMode = "silent" // first lines are not answered
	ModeUnresponsive MemberMode = "mute"   // nothing is answered, health checks and open flows included
)

// Attempt is an attempt that has reached a member.
type Attempt struct {
	ID, Member string
	Via        string // the name that the address it came to was opened for
	From       string // the sending side's address
	Group      string
	Load       float64
	Work       time.Duration // processor time for the new connection
	Rejected   bool          // at its end: it was rejected, and has not run
}

// Member is a fake pool member that speaks the platform's line protocol. Its exported fields are set before it is opened; all but ID
// are optional.
type Member struct {
	ID           string
	Capacity     Capacity
	Defect       Defect // of its build
	Attempts     *AttemptCounter
	OnAttempt    func(Attempt)                       // called with each attempt
	OnAccept     func(a Attempt, up string)          // called before an UP is sent
	OnEnd        func(a Attempt, endedByMember bool) // called at the end of an attempt
	OnProbe      func()                              // called with each health check
	OnConnection func(via string)                    // called with each connection

	mu           sync.Mutex
	listeners    []*memberListener
	mode         MemberMode
	flows        map[net.Conn]*flow
	conns        map[net.Conn]bool
	groups       map[string]int // flows by group
	load         float64
	busyUntil    time.Time // when the work of the connections so far is done
	started      time.Time
	report       string
	reportedAt   time.Time
	firstLines   []string
	invalidLines []string // first lines that no client may send
}

// memberListener is one address of a member. The listener is nil while the member is down.
type memberListener struct {
	via, addr string
	listener  net.Listener
}

// Defect is the fault of a build, towards some relays or all.
type Defect struct {
	FailureRate float64       // part of the first lines answered with ERR
	Delay       time.Duration // before each answer to a first line
	Via         []string      // only towards these; empty: towards all
}

func (d Defect) appliesTo(via string) bool {
	return (d.FailureRate > 0 || d.Delay > 0) && (len(d.Via) == 0 || slices.Contains(d.Via, via))
}

// NewMember returns a member that started long ago.
func NewMember(id string) *Member {
	return &Member{ID: id, flows: map[net.Conn]*flow{}, conns: map[net.Conn]bool{}, groups: map[string]int{}}
}

// Open serves the member at one more address and returns that. Via names who uses the address.
func (m *Member) Open(via string) (string, error) {
	l := &memberListener{via: via, addr: Host + ":0"}
	if err := m.listen(l); err != nil {
		return "", err
	}
	m.mu.Lock()
	m.listeners = append(m.listeners, l)
	m.mu.Unlock()
	return l.addr, nil
}

func (m *Member) listen(l *memberListener) (err error) {
	listener, err := net.Listen("tcp", l.addr)
	if err != nil {
		return err
	}
	l.listener, l.addr = listener, listener.Addr().String()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go m.serve(c, l.via)
		}
	}()
	return nil
}

// Addr returns the address that was opened first.
func (m *Member) Addr() string { return m.listeners[0].addr }

// Start begins a new process of the member, in slow start, at all its addresses.
func (m *Member) Start(now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.started, m.mode, m.busyUntil, m.reportedAt = now, ModeHealthy, time.Time{}, time.Time{}
	for _, l := range m.listeners {
		if l.listener == nil {
			if err := m.listen(l); err != nil {
				return err
			}
		}
	}
	return nil
}

// Kill ends the member as a killed process ends: its connections are reset and new ones refused.
func (m *Member) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.listeners {
		if l.listener != nil {
			l.listener.Close()
			l.listener = nil
		}
	}
	for _, f := range m.flows {
		f.endedByMember = true
	}
	for c := range m.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

// Down reports whether the member is killed.
func (m *Member) Down() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listeners[0].listener == nil
}

// SetMode sets how the member answers from now on.
func (m *Member) SetMode(mode MemberMode) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mode = mode
}

func (m *Member) hasMode(mode MemberMode) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mode == mode
}

// OpenFlows returns how many flows are open.
func (m *Member) OpenFlows() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.flows)
}

// FirstLines returns all first lines received, and those among them that no client may send.
func (m *Member) FirstLines() (all, invalid []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.firstLines...), append([]string(nil), m.invalidLines...)
}

// EachConnection calls f with the connection of each flow.
func (m *Member) EachConnection(f func(net.Conn)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.flows {
		f(c)
	}
}

// MoveClients ends all flows with MOVE, as a draining member does.
func (m *Member) MoveClients() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c, f := range m.flows {
		f.endedByMember = true
		fmt.Fprint(c, "MOVE\r\n")
		c.(*net.TCPConn).CloseWrite()
	}
}
