package consensus

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

// wire is a way between two relays that can be cut without a word: connections stay open, and nothing passes.
type wire struct {
	ln  net.Listener
	to  string
	cut atomic.Bool
	mu  sync.Mutex
	all []net.Conn
}

func newWire(t testing.TB, to string) *wire {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wire{ln: ln, to: to}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			d, err := net.Dial("tcp", to)
			if err != nil {
				c.Close()
				continue
			}
			w.mu.Lock()
			w.all = append(w.all, c, d)
			w.mu.Unlock()
			pass := func(from, to net.Conn) {
				b := make([]byte, 32<<10)
				for {
					n, err := from.Read(b)
					if !w.cut.Load() {
						if _, werr := to.Write(b[:n]); werr != nil || err != nil {
							from.Close()
							to.Close()
						}
					}
					if err != nil {
						return
					}
				}
			}
			go pass(c, d)
			go pass(d, c)
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, c := range w.all {
			c.Close()
		}
	})
	return w
}

// wired has every way between these relays led by a wire.
func (f *fleet) wired(names ...string) map[string]*wire {
	ws := map[string]*wire{}
	for _, a := range names {
		f.reach[a] = map[string]string{}
		for b, addr := range f.voters {
			if a != b {
				ws[a+">"+b] = newWire(f.t, addr)
				f.reach[a][b] = ws[a+">"+b].ln.Addr().String()
			}
		}
	}
	return ws
}

func (f *fleet) allUp() {
	for name := range f.voters {
		f.up(name)
	}
}

func TestLeaderClosedAndMajorityLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, true)
	f.allUp()
	f.up("r0")
	f.propose("r0", "a")
	l := f.leader()
	f.down(l)
	f.propose("r0", "b")
	second := f.leader()
	f.down(second)
	f.wait("all that are left know", func() bool { // one that still passes calls on to the old leader ends in doubt, by rights
		for _, n := range f.nodes {
			if s := n.Status(); s.HasQuorum || s.Leader != "" {
				return false
			}
		}
		return true
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	_, _, err := f.nodes["r0"].Propose(ctx, []byte("refused"))
	cancel()
	if !errors.Is(err, ErrNoQuorum) {
		t.Fatalf("without a majority: %v", err)
	}
	ctx, cancel = context.WithTimeout(context.Background(), time.Second)
	if _, err := f.nodes["r0"].Barrier(ctx); !errors.Is(err, ErrNoQuorum) {
		t.Fatalf("barrier without a majority: %v", err)
	}
	cancel()
	f.up(l)
	f.up(second)
	f.propose("r0", "c")
	f.same()
	if n, _ := f.ms["r0"].now(); n != 3 {
		t.Fatalf("%d commands: one that was refused is agreed", n)
	}
}

func TestLinksCutWithoutAWord(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, true)
	ws := f.wired("v0", "v1", "v2", "r0")
	f.allUp()
	f.up("r0")
	f.propose("r0", "a")
	// The follower's stream falls silent: it takes another voter.
	f.wait("a stream", func() bool { return f.nodes["r0"].Status().StreamSource != "" })
	via := f.nodes["r0"].Status().StreamSource
	ws["r0>"+via].cut.Store(true)
	f.wait("another voter", func() bool { s := f.nodes["r0"].Status().StreamSource; return s != "" && s != via })
	ws["r0>"+via].cut.Store(false)
	// The leader is cut off from the voters: they choose another, it steps down.
	l := f.leader()
	for way, w := range ws {
		if !strings.HasPrefix(way, "r0") && strings.Contains(way, l) {
			w.cut.Store(true)
		}
	}
	f.wait("the old one steps down", func() bool { return f.nodes[l].Status().Role == RoleVoter })
	f.wait("a new one", func() bool {
		for name, n := range f.nodes {
			if name != l && n.Status().Role == RoleLeader {
				return true
			}
		}
		return false
	})
	for name := range f.voters {
		if name != l {
			f.propose(name, "b"+name)
		}
	}
	for _, w := range ws {
		w.cut.Store(false)
	}
	f.propose("r0", "c")
	f.same()
}

func TestGapGetsTheWholeSnapshot(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, true)
	f.allUp()
	f.up("r0")
	f.propose("r0", "a")
	f.same()
	f.down("r0")
	l := f.leader()
	gone := "v0"
	if l == gone {
		gone = "v1"
	}
	f.down(gone)
	big := strings.Repeat("x", 200<<10)
	for range 30 { // more than the ring and the log keep
		f.propose(l, big)
	}
	s := f.nodes[l].Status()
	if s.LogBytes > maxRecentBytes+MaxCommandSize || s.SnapshotIndex == 0 {
		t.Fatalf("%+v", s)
	}
	f.wait("the log is truncated", func() bool { s := f.nodes[l].Status(); return s.LogLast-s.LogFirst < 16 })
	info, err := os.Stat(filepath.Join(f.dirs[l], databaseFile))
	if err != nil || info.Size() > 16<<20 {
		t.Fatalf("file of %d bytes: %v", info.Size(), err)
	}
	f.up(gone)
	f.up("r0")
	f.propose("r0", "z")
	f.same()
}

func TestDiskFails(t *testing.T) {
	t.Parallel()
	ops := []string{"sync"}
	if os.Getenv("ACCORD_SEEDS") != "" {
		ops = append(ops, "write")
	}
	for _, op := range ops {
		var failing atomic.Bool
		f := newFleet(t, 3, true)
		f.fault["v1"] = func(at string) error {
			if failing.Load() && (at == op || at == "open") {
				return fmt.Errorf("no space left at %s", at)
			}
			return nil
		}
		f.allUp()
		f.propose("v1", "a")
		failing.Store(true)
		for i := range 3 {
			f.propose("v0", fmt.Sprint("b", i))
		}
		f.wait("it says so", func() bool { s := f.nodes["v1"].Status(); return s.Role == RoleDiskFailed && s.DiskError != "" })
		f.propose("v2", "c")
		f.wait("it follows all the same", func() bool { n, _ := f.ms["v1"].now(); return n == 5 })
		failing.Store(false)
		f.wait("it votes again", func() bool { s := f.nodes["v1"].Status(); return s.Role != RoleDiskFailed && s.DiskError == "" })
		other := "v0"
		if f.leader() == other {
			other = "v2"
		}
		f.down(other) // so that its vote is needed
		f.propose("v1", "d")
		id := f.nodes["v1"].Status().Identity
		f.down("v1")
		f.up("v1")
		f.up(other)
		f.propose("v1", "e")
		f.same()
		if now := f.nodes["v1"].Status().Identity; now != id {
			t.Fatalf("identity %d, then %d", id, now)
		}
	}
}

func TestUnusableDirectory(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, false)
	file := filepath.Join(f.temp, "file")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	f.dirs["v0"] = filepath.Join(file, "dir") // cannot be made
	f.up("v0")
	f.wait("it says so", func() bool { s := f.nodes["v0"].Status(); return s.DiskError != "" && s.Role == RoleDiskFailed })
}

// changed waits until a change of voters is through: before that it takes a majority of the old ones too.
func (f *fleet) changed(name string) {
	f.t.Helper()
	id := f.nodes[name].Status().Identity
	f.wait("all voters know, and the change is through", func() bool {
		n := 0
		for _, node := range f.nodes {
			if e := node.engine(); e != nil {
				if v := e.view.Load(); v.voters.idOf(name) != id || v.inJointConfig {
					return false
				}
				n++
			}
		}
		return n == len(f.voters)
	})
}

// TestLostDirectoryIsANewVoter: whatever became of a voter's directory, it never votes under its old identity, and votes again under a new one.
func TestLostDirectoryIsANewVoter(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"emptied", "in memory", "damaged", "older"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3, how != "in memory")
			f.allUp()
			f.propose("v1", "a")
			f.same()
			id := f.nodes["v2"].Status().Identity
			f.down("v2")
			path := filepath.Join(f.dirs["v2"], databaseFile)
			file, err := os.ReadFile(path)
			if err != nil && f.dirs["v2"] != "" {
				t.Fatal(err)
			}
			if how == "older" {
				f.up("v2")
				f.wait("it votes", func() bool { return f.nodes["v2"].Status().Role != RoleJoining })
				f.propose("v2", "forgotten")
				f.same()
				time.Sleep(3 * heartbeatTicks * tickInterval) // until the others have heard what it acknowledged
				f.down("v2")
			}
			if how == "damaged" {
				file[os.Getpagesize()+pageHeaderSize+20] ^= 1
			}
			if how == "emptied" {
				err = os.Remove(path)
			} else if f.dirs["v2"] != "" {
				err = os.WriteFile(path, file, 0o600)
			}
			if err != nil && f.dirs["v2"] != "" {
				t.Fatal(err)
			}
			f.propose("v1", "b")
			f.up("v2")
			f.wait("it says so, and is taken in", func() bool {
				s := f.nodes["v2"].Status()
				return s.Identity != id && (s.Role == RoleVoter || s.Role == RoleLeader) && (strings.Contains(s.IdentityReason, how) || how == "emptied" || how == "in memory")
			})
			f.changed("v2")
			f.down("v1")
			f.propose("v2", "c") // its vote is needed
			f.up("v1")
			f.propose("v1", "d")
			f.same()
		})
	}
}

func TestReplace(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, true)
	f.allUp()
	f.dirs["r0"] = filepath.Join(f.temp, "r0")
	f.up("r0")
	f.up("r1")
	f.propose("r0", "a")
	f.same()
	votersAt := func() (at uint64, same bool) {
		at, same = f.nodes["r1"].Status().VotersIndex, true
		for _, n := range f.nodes {
			same = same && n.Status().VotersIndex == at
		}
		return at, same
	}
	if at, same := votersAt(); at != 0 || !same {
		t.Fatal("as founded, and voters at ", at)
	}
	old := f.leader() // the leader itself
	if err := f.nodes["v1"].Replace(context.Background(), old, "r0", f.addrs["r0"]); err != nil {
		t.Fatal(err)
	}
	f.wait("the new one votes", func() bool { s := f.nodes["r0"].Status().Role; return s == RoleVoter || s == RoleLeader })
	f.wait("the old one follows", func() bool { return f.nodes[old].Status().Role == RoleFollower })
	f.wait("all know since when", func() bool { at, same := votersAt(); return at > 1 && same })
	f.changed("r0")
	f.propose(old, "b")
	f.same()
	other := "v0"
	if old == other {
		other = "v1"
	}
	id := f.nodes[other].Status().Identity
	f.down(other)
	f.propose(old, "c") // the new one's vote is needed
	f.wait("the leader counts it as gone", func() bool {
		gone, e := make(chan bool, 1), f.nodes[f.leader()].engine()
		e.tasks <- func() { gone <- e.core.tickCount-e.core.lastContact[id] > healthyTicks }
		return <-gone
	})
	if err := f.nodes["r0"].Replace(context.Background(), "r0", old, f.addrs[old]); err == nil {
		t.Fatal("replaced while another voter is down")
	}
	f.up(other)
	f.propose(old, "d")
	f.same()
}

// TestSay: words reach the leader and its answers come back, by a voter too; whoever is slow or full holds up nobody else.
func TestSay(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	got := map[string]bool{}
	note := func(what ...string) {
		mu.Lock()
		defer mu.Unlock()
		got[strings.Join(what, " ")] = true
	}
	has := func(what ...string) bool {
		mu.Lock()
		defer mu.Unlock()
		return got[strings.Join(what, " ")]
	}
	slow, deaf := make(chan struct{}), make(chan struct{})
	f := newFleet(t, 3, false)
	f.heard = func(from string, word []byte) []byte {
		note(from, "said", string(word))
		switch string(word) {
		case "large":
			return make([]byte, MaxReplySize+1)
		case "slow":
			<-slow
		}
		return word
	}
	f.told = func(at, from, answer string) {
		note(at, "told", answer)
		note(at, "told", answer, "by", from)
		if answer == "deaf" {
			<-deaf
		}
	}
	f.allUp()
	f.propose("v0", "a")
	l := f.leader()
	f.reach["r0"] = map[string]string{l: freeAddr(t)} // nobody is there: all that it says goes by another voter
	f.up("r0")
	say := func(name, word string) {
		if err := f.nodes[name].Report([]byte(word)); err != nil && !errors.Is(err, ErrQueueFull) {
			t.Fatal(err)
		}
	}
	until := func(what, word string, ok func() bool) {
		f.wait(what, func() bool { say("r0", word); return ok() })
	}
	dropped := func(what string) bool { // at any of them: the leader may change under load
		for _, n := range f.nodes {
			if n.Status().Dropped[what] > 0 {
				return true
			}
		}
		return false
	}
	f.wait("all are heard and told, but for what is too large", func() bool {
		done := dropped("answersize")
		for name := range f.nodes {
			say(name, "I am "+name)
			say(name, "large")
			done = done && has(name, "said", "I am "+name) && has(name, "told", "I am "+name, "by", f.leader())
		}
		return done
	})
	until("one that waits is given up, the next ones count", "slow", func() bool {
		for name := range f.voters {
			f.nodes[name].processReports(f.nodes[name].ctx, "r0", make([][]byte, reportQueueSize/8))
		}
		return dropped("unanswered") && dropped("heard")
	})
	close(slow)
	until("a relay that tells nobody", "deaf", func() bool { say("r0", "after it"); return has("r0", "told", "deaf") })
	f.nodes["r0"].queueReplies(l, make([][]byte, replyQueueSize+1))
	if !dropped("told") {
		t.Error("the ring of answers has no bound")
	}
	close(deaf)
	until("it is told again", "after it", func() bool { return has("r0", "told", "after it") })
	for name := range f.voters { // as if so many waited
		for range maxReplyWaiters {
			f.nodes[name].replyWaiters <- struct{}{}
		}
	}
	until("words count without a place to wait", "alone", func() bool { return has("r0", "said", "alone") })
	for range maxQueuedReports + 1 {
		say("r0", "x")
	}
	if has("r0", "told", "alone") || has("r0", "told", string(make([]byte, MaxReplySize+1))) {
		t.Error("an answer that nobody could wait for, or that is too large")
	}
	if !dropped("said") {
		t.Error("what is said has no bound")
	}
}

// TestTwins: two relays of one name are named, by who hears them and by themselves; one that starts again is not.
func TestTwins(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, false)
	f.allUp()
	f.up("r1")
	f.nodes["its twin"], f.addrs["r0"] = f.up("r0"), freeAddr(t)
	f.up("r0")
	f.propose("r1", "a")
	f.down("r1")
	f.up("r1")
	named := map[string]bool{}
	f.wait("they are named", func() bool {
		for name, n := range f.nodes {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			n.Barrier(ctx) // anything that it sends; it may fail
			cancel()
			for _, twin := range n.Status().DuplicateNames {
				if twin != "r0" {
					t.Fatalf("%s names %s", name, twin)
				}
				named[name] = true
			}
		}
		return named["r0"] && named["its twin"] && (named["v0"] || named["v1"] || named["v2"])
	})
}

// filled is a voter's file of that many entries, as the library wrote it, and what it holds.
func filled(t *testing.T, entries int) (file []byte, h storedState) {
	d := &disk{directory: t.TempDir()}
	if _, _, err := d.open(5); err != nil {
		t.Fatal(err)
	}
	s, err := bootstrapSnapshot(9, voterSet{5: {"v0", "a"}}, []byte("machine"))
	if err != nil {
		t.Fatal(err)
	}
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	must(d.write(diskWrite{snapshot: s.encode(), hardState: &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))}}))
	entry := func(i, term uint64, size int) diskWrite {
		return diskWrite{entries: []*pb.Entry{{Index: new(i), Term: new(term), Data: bytes.Repeat([]byte("d"), size)}}, hardState: &pb.HardState{Term: new(term), Vote: new(uint64(5)), Commit: new(i)},
			acknowledged: map[uint64]logPosition{7: {term, i}}}
	}
	for i := range uint64(entries) {
		must(d.write(entry(i+2, 1, 300+int(i%7)*40)))
	}
	must(d.write(entry(uint64(entries)/2, 2, 9000))) // more than a page; what stood behind it is gone
	s.index, s.machineState = uint64(entries)/4, bytes.Repeat([]byte("m"), 6000)
	must(d.write(diskWrite{compaction: s.encode(), compactedIndex: s.index - 3}))
	must(d.close())
	file, err = os.ReadFile(filepath.Join(d.directory, databaseFile))
	must(err)
	h, err = loadFile(file)
	must(err)
	if n := len(h.entries); h.identity != 5 || n == 0 || h.entries[0].GetIndex() != s.index+1 || h.entries[n-1].GetTerm() != 2 || h.hardState.GetVote() != 5 || h.acknowledged[7].term != 2 {
		t.Fatalf("not read as written: %+v", h)
	}
	return file, h
}

// TestFileHoldsWhatWasWritten holds the file, as it is read without the library, against the model's.
func TestFileHoldsWhatWasWritten(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(3, 1))
	d, n, w := &disk{directory: t.TempDir()}, &vnode{disk: storedState{identity: 5}}, &world{}
	if _, _, err := d.open(5); err != nil {
		t.Fatal(err)
	}
	s, err := bootstrapSnapshot(9, voterSet{5: {"v0", "a"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	last, term := uint64(1), uint64(1)
	for i := range 120 {
		dw := diskWrite{acknowledged: map[uint64]logPosition{7: {term, last}}}
		kind := rng.IntN(8)
		if i == 0 {
			kind = 0
		}
		switch kind {
		case 0: // another's snapshot
			last += uint64(rng.IntN(3))
			s.index, s.term, s.machineState = last, term, make([]byte, rng.IntN(20000))
			dw.snapshot = s.encode()
		case 1: // its own
			s.index += uint64(rng.IntN(int(last-s.index) + 1))
			s.machineState = make([]byte, rng.IntN(20000))
			dw.compaction, dw.compactedIndex = s.encode(), s.index-min(s.index, uint64(rng.IntN(10)))
		default: // entries, over some that were there
			if rng.IntN(3) == 0 && last > s.index {
				term++
				last -= uint64(rng.IntN(int(last - s.index)))
			}
			for range rng.IntN(12) {
				last++
				dw.entries = append(dw.entries, &pb.Entry{Index: new(last), Term: new(term), Data: make([]byte, rng.IntN(200)*rng.IntN(40))})
			}
		}
		dw.hardState = &pb.HardState{Term: new(term), Vote: new(uint64(5)), Commit: new(s.index)}
		if err := d.write(dw); err != nil {
			t.Fatal(err)
		}
		n.writing = &dw
		w.store(n)
		file, err := os.ReadFile(filepath.Join(d.directory, databaseFile))
		if err != nil {
			t.Fatal(err)
		}
		h, err := loadFile(file)
		if err != nil {
			t.Fatalf("write %d: %v", i, err)
		}
		want := n.disk
		for len(want.entries) > 0 && want.entries[0].GetIndex() <= s.index {
			want.entries = want.entries[1:]
		}
		show := func(h storedState) string {
			return fmt.Sprint(h.identity, h.snapshot, h.hardState, h.entries, h.acknowledged)
		}
		if show(h) != show(want) {
			t.Fatalf("write %d: %d entries are read, %d were written", i, len(h.entries), len(want.entries))
		}
		if i%20 == 19 {
			if err := d.close(); err != nil {
				t.Fatal(err)
			}
			if _, note, err := d.open(6); note != "" || err != nil {
				t.Fatal(note, err)
			}
			n.disk.entries = h.entries
		}
	}
	if err := d.close(); err != nil {
		t.Fatal(err)
	}
}

// TestDamagedFile cuts the file at each length and turns bits: what is left is refused, or the very same. The directory is then a new voter's.
func TestDamagedFile(t *testing.T) {
	t.Parallel()
	good, whole := filled(t, 60)
	step := 199 // none of 8 or a page: each bit of a byte, each byte of a page has its turn
	if os.Getenv("ACCORD_SEEDS") != "" {
		step = 1
	}
	for n := 0; n < len(good); n += step {
		if h, err := loadFile(good[:n]); err == nil && !reflect.DeepEqual(h, whole) { // the file is longer than what it has in use
			t.Fatalf("cut at %d, and something else is read", n)
		}
	}
	same, refused := 0, 0
	b := bytes.Clone(good)
	for bit := 0; bit < 8*len(b); bit += step {
		b[bit/8] ^= 1 << (bit % 8)
		switch h, err := loadFile(b); {
		case err != nil:
			refused++
		case reflect.DeepEqual(h, whole): // in a page that is free, or where nothing is
			same++
		default:
			t.Fatalf("bit %d turned, and something else is read", bit)
		}
		b[bit/8] ^= 1 << (bit % 8)
	}
	size := os.Getpagesize()
	for from := 0; from < len(b); from += size { // consume page in the place of each other, under its number: such as an older one
		for to := 0; to < len(b); to += size {
			copy(b[to+8:to+size], good[from+8:from+size])
			if h, err := loadFile(b); err == nil && !reflect.DeepEqual(h, whole) {
				t.Fatalf("page at %d in the place of %d, and something else is read", from, to)
			}
			copy(b[to:to+size], good[to:to+size])
		}
	}
	for id := 0; id < len(b)/size; id++ { // a page that is its own child: who walks in circles does not end
		if p := b[id*size:]; binary.NativeEndian.Uint16(p[8:]) == pageKindBranch {
			binary.NativeEndian.PutUint64(p[pageHeaderSize+8:], uint64(id))
			if h, err := loadFile(b); err == nil && !reflect.DeepEqual(h, whole) {
				t.Fatalf("page %d is its own child, and let in", id)
			}
		}
	}
	t.Log(same, refused)
	if same == 0 || refused == 0 {
		t.Error("nothing was tried")
	}
	dir := t.TempDir()
	for i, c := range []struct {
		file []byte
		id   uint64
	}{{nil, 6}, {good[:size], 6}, {good, 5}, {good, 5}, {good[:3*size], 6}} {
		if err := os.WriteFile(filepath.Join(dir, databaseFile), c.file, 0o600); err != nil {
			t.Fatal(err)
		}
		d := &disk{directory: dir}
		h, note, err := d.open(6)
		if err != nil || h.identity != c.id || (note == "") != (c.id == 5) || (h.snapshot == nil) != (c.id == 6) {
			t.Fatalf("%d: %v %q, identity %d", i, err, note, h.identity)
		}
		if i == 2 {
			if _, _, err := (&disk{directory: dir}).open(7); !errors.Is(err, errInUse) {
				t.Errorf("opened twice: %v", err)
			}
		}
		if err := d.close(); err != nil {
			t.Fatal(err)
		}
	}
}
