package fakes

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// How a member answers.
const (
	ModeHealthy      = ""       // UP, and each line at once
	ModeBusy         = "busy"   // first lines with BUSY
	ModeErr          = "err"    // first lines with ERR
	ModeReset        = "reset"  // first lines with a reset
	ModeSilent       = "silent" // first lines not at all
	ModeUnresponsive = "mute"   // nothing at all, probes and open flows too
)

// Capacity is what a member can bear. The zero value bears everything, at once.
type Capacity struct {
	Cores          float64       // of load that it holds up
	MaxConnections int           // connections that it holds
	ConnectionWork time.Duration // a core's work for a new connection
	GroupWork      time.Duration // further work for the first of a group
	SlowStartFrom  float64       // its share of that just after its start
	SlowStartFor   time.Duration // until it is whole
	ReportInterval time.Duration // how old its report may be
	ReportError    float64       // by which part its report may be off
	ReportFields   []string      // what a report holds
}

// Share is how much of its warm speed a member has so long after its start.
func (b Capacity) Share(age time.Duration) float64 {
	if b.SlowStartFor <= 0 || age >= b.SlowStartFor {
		return 1
	}
	return b.SlowStartFrom + (1-b.SlowStartFrom)*age.Seconds()/b.SlowStartFor.Seconds()
}

// Attempt is one that has reached a member.
type Attempt struct {
	ID, Member string
	Via        string // whom the address that it came to was opened for
	From       string // the sending side's address
	Group      string
	Load       float64
	Work       time.Duration // of the new connection
	Rejected   bool          // at its end: it was turned away, and has not run
}

// Member is the stand-in for a pool member that speaks the platform's protocol. Its fields are set before it is opened.
type Member struct {
	ID           string
	Capacity     Capacity
	Attempts     *AttemptCounter              // may be nil
	OnAttempt    func(Attempt)                // called with each attempt, if set
	OnAccept     func(a Attempt, up string)   // called before an UP is sent
	OnEnd        func(a Attempt, itself bool) // called at its end; itself: the member ended it
	Defect       Defect                       // of its build
	OnProbe      func()                       // called with each probe
	OnConnection func(via string)             // called with each connection

	mu      sync.Mutex
	doors   []*door
	mode    string
	held    map[net.Conn]*flow
	all     map[net.Conn]bool
	groups  map[string]int
	load    float64
	busy    time.Time // until when new connections keep it at work
	started time.Time
	report  string
	at      time.Time // when the report was taken
	lines   []string  // first lines
	bad     []string  // first lines that no client may send
}

type door struct {
	via, addr string
	l         net.Listener
}

type flow struct {
	Attempt
	in   *bufio.Reader
	away bool // the member ends it
}

// Defect is what a build does wrong, to what comes from some relays or from all.
type Defect struct {
	FailureRate float64       // part of the first lines answered with ERR
	Delay       time.Duration // before each answer to one
	Via         []string      // from these alone; empty: from all
}

func (f Defect) appliesTo(via string) bool {
	return (f.FailureRate > 0 || f.Delay > 0) && (len(f.Via) == 0 || slices.Contains(f.Via, via))
}

// NewMember has been up for long.
func NewMember(id string) *Member {
	return &Member{ID: id, held: map[net.Conn]*flow{}, all: map[net.Conn]bool{}, groups: map[string]int{}}
}

// ConnectionWork has it served at one more address.
func (m *Member) Open(via string) (string, error) {
	d := &door{via: via, addr: Host + ":0"}
	if err := m.listen(d); err != nil {
		return "", err
	}
	m.mu.Lock()
	m.doors = append(m.doors, d)
	m.mu.Unlock()
	return d.addr, nil
}

func (m *Member) listen(d *door) (err error) {
	l, err := net.Listen("tcp", d.addr)
	if err != nil {
		return err
	}
	d.l, d.addr = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(c, d.via)
		}
	}()
	return nil
}

// Addr is where it is served first.
func (m *Member) Addr() string { return m.doors[0].addr }

// Start has it begin, cold, at all its addresses; Kill ends it as a process ends that dies.
func (m *Member) Start(now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.started, m.mode, m.busy, m.at = now, ModeHealthy, time.Time{}, time.Time{}
	for _, d := range m.doors {
		if d.l == nil {
			if err := m.listen(d); err != nil {
				return err
			}
		}
	}
	return nil
}

// Kill resets all it has and refuses what comes.
func (m *Member) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range m.doors {
		if d.l != nil {
			d.l.Close()
			d.l = nil
		}
	}
	for _, f := range m.held {
		f.away = true
	}
	for c := range m.all {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

// Down says that nobody is at its addresses.
func (m *Member) Down() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.doors[0].l == nil
}

// SetMode says how it answers from now on.
func (m *Member) SetMode(mode string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mode = mode
}

func (m *Member) is(mode string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mode == mode
}

// OpenFlows is how many flows are open.
func (m *Member) OpenFlows() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

// FirstLines are all that came, and those among them that no client may send.
func (m *Member) FirstLines() (all, bad []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.lines...), append([]string(nil), m.bad...)
}

// EachConnection calls f with the connection of each flow.
func (m *Member) EachConnection(f func(net.Conn)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.held {
		f(c)
	}
}

// MoveClients ends all flows as a member does that drains.
func (m *Member) MoveClients() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c, f := range m.held {
		f.away = true
		fmt.Fprint(c, "MOVE\r\n")
		c.(*net.TCPConn).CloseWrite()
	}
}

// strength is how many cores it has now.
func (m *Member) strength(now time.Time) float64 {
	return m.Capacity.Cores * m.Capacity.Share(now.Sub(m.started))
}

// stats is the load report.
func (m *Member) stats() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Capacity.Cores == 0 {
		return fmt.Sprintf("x0=%.2f,x1=0,inflight=%d", 0.1+0.01*float64(len(m.held)), len(m.held))
	}
	now := time.Now()
	if m.report != "" && now.Sub(m.at) < m.Capacity.ReportInterval {
		return m.report
	}
	rough := func(v float64) float64 { return v * (1 + m.Capacity.ReportError*(2*rand.Float64()-1)) }
	var fields []string
	for _, name := range m.Capacity.ReportFields {
		switch name {
		case "x0":
			fields = append(fields, fmt.Sprintf("x0=%.4f", rough(m.load/m.strength(now))))
		case "x1":
			fields = append(fields, fmt.Sprintf("x1=%.4f", max(0, m.busy.Sub(now).Seconds())))
		case "outstanding", "inflight":
			fields = append(fields, fmt.Sprintf("inflight=%d", len(m.held)))
		}
	}
	m.report, m.at = strings.Join(fields, ","), now
	return m.report
}

// answerDelay is how late a line is answered: not at all while there is room, and longer the more load is over it.
func (m *Member) late() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Capacity.Cores == 0 {
		return 0
	}
	over := m.load/m.strength(time.Now()) - 1
	return time.Duration(max(0, min(over, 2)) * float64(time.Second))
}

var openLine = regexp.MustCompile(`^OPEN [0-9a-f]{16} [0-9a-f]{16} \S+$`)

func (m *Member) serve(c net.Conn, via string) {
	if m.OnConnection != nil {
		m.OnConnection(via)
	}
	m.mu.Lock()
	m.all[c] = true
	m.mu.Unlock()
	defer func() {
		c.Close()
		m.mu.Lock()
		delete(m.all, c)
		m.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		if m.is(ModeUnresponsive) {
			in.ReadString(0) // until the end
			return
		}
		if line == "STATS" {
			if m.OnProbe != nil {
				m.OnProbe()
			}
			fmt.Fprintf(c, "PONG %s\r\n", m.stats())
			continue
		}
		m.open(c, in, line, via)
		return
	}
}

// field is a value of a first line.
func field(line, name string) string {
	for _, f := range strings.Split(line[strings.LastIndexByte(line, ' ')+1:], ",") {
		if v, ok := strings.CutPrefix(f, name+"="); ok {
			return v
		}
	}
	return ""
}

func (m *Member) open(c net.Conn, in *bufio.Reader, line, via string) {
	m.mu.Lock()
	m.lines = append(m.lines, line)
	if !openLine.MatchString(line) {
		m.bad = append(m.bad, line)
	}
	mode := m.mode
	m.mu.Unlock()
	if !openLine.MatchString(line) {
		fmt.Fprint(c, "SYNTAX\r\n")
		return
	}
	f := &flow{Attempt: Attempt{ID: strings.Fields(line)[1], Member: m.ID, Via: via, From: c.RemoteAddr().String(), Group: field(line, "g")}, in: in}
	f.Load, _ = strconv.ParseFloat(field(line, "h"), 64)
	f.Work = m.Capacity.ConnectionWork
	m.mu.Lock()
	if m.groups[f.Group] == 0 {
		f.Work += m.Capacity.GroupWork
	}
	m.mu.Unlock()
	var try *CountedAttempt
	if m.Attempts != nil {
		try = m.Attempts.Begin(f.ID, c)
	}
	if m.OnAttempt != nil {
		m.OnAttempt(f.Attempt)
	}
	itself := true
	// Over before the answer is written: the next attempt may be there before this goroutine goes on.
	over := sync.OnceFunc(func() {
		if try != nil {
			try.End()
		}
		if m.OnEnd != nil {
			m.OnEnd(f.Attempt, itself)
		}
	})
	defer over()
	if m.Defect.appliesTo(via) {
		time.Sleep(m.Defect.Delay)
		if rand.Float64() < m.Defect.FailureRate {
			mode = ModeErr
		}
	}
	switch mode {
	case ModeBusy:
		f.Rejected = true
		over()
		fmt.Fprint(c, "BUSY inflight=9\r\n")
		return
	case ModeErr:
		over()
		fmt.Fprint(c, "ERR\r\n")
		return
	case ModeReset:
		c.(*net.TCPConn).SetLinger(0)
		return
	case ModeSilent:
		in.ReadString('\n')
		return
	}
	if !m.take(c, f) {
		f.Rejected = true
		over()
		fmt.Fprint(c, "BUSY\r\n")
		return
	}
	defer m.drop(c, f)
	if m.OnAccept != nil {
		m.OnAccept(f.Attempt, "UP "+m.ID+"/"+f.ID)
	}
	if m.is(ModeUnresponsive) {
		in.ReadString(0)
		return
	}
	fmt.Fprintf(c, "UP %s/%s\r\n", m.ID, f.ID)
	for n := 1; ; n++ {
		line, err := in.ReadString('\n')
		if err != nil {
			m.mu.Lock()
			itself = f.away
			m.mu.Unlock()
			return
		}
		if m.is(ModeUnresponsive) {
			continue
		}
		if line == "END\r\n" {
			fmt.Fprint(c, "BYE inflight=1\r\n")
			return
		}
		time.Sleep(m.late())
		load := 50000 + float64(n)
		if m.Capacity.Cores > 0 {
			load = f.Load
		}
		fmt.Fprintf(c, "LOAD %g\r\nGOT %d %s", load, n, line)
	}
}

// take does the work of a new connection. It returns false if there is no room.
func (m *Member) take(c net.Conn, f *flow) bool {
	m.mu.Lock()
	if m.Capacity.MaxConnections > 0 && len(m.held) >= m.Capacity.MaxConnections {
		m.mu.Unlock()
		return false
	}
	m.held[c] = f
	m.groups[f.Group]++
	m.load += f.Load
	now := time.Now()
	if m.Capacity.Cores > 0 {
		if m.busy.Before(now) {
			m.busy = now
		}
		m.busy = m.busy.Add(time.Duration(float64(f.Work) / m.strength(now)))
	}
	wait := m.busy.Sub(now)
	m.mu.Unlock()
	time.Sleep(wait)
	return true
}

func (m *Member) drop(c net.Conn, f *flow) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, c)
	m.load -= f.Load
	if m.groups[f.Group]--; m.groups[f.Group] == 0 {
		delete(m.groups, f.Group)
	}
}
