package drift

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestWordFits: whatever a relay notes, a word is within its bound, all items get their turn, and it is read as it was written.
func TestWordFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook(strings.Repeat("r", rapid.IntRange(1, RelayMost).Draw(t, "name")), 1<<63)
		long := rapid.IntRange(1, NameMost).Draw(t, "long")
		n := rapid.IntRange(0, ItemsMost+2).Draw(t, "items")
		noted := map[string]bool{}
		for i := range n {
			name := fmt.Sprintf("g%d.%d", i%rapid.IntRange(1, GroupsMost).Draw(t, "groups"), i)
			name += strings.Repeat("x", max(0, long-len(name)))
			it := Item{name, rapid.Uint64().Draw(t, "version"), 1 << 63}
			if i%3 == 0 {
				noted[name] = b.Refuse(-1<<62, it, strings.Repeat("ä\n", 30), strings.Repeat("why\x00", 50))
			} else {
				noted[name] = b.Note(-1<<62, it, "record")
			}
			b.Count(name, KindOut, 1<<63, 1<<62)
		}
		told := map[string]bool{}
		done := map[string]bool{}
		for k := range 2*n + 8 {
			if k > n { // and now by asking
				var want []string
				for i := range GroupsMost {
					want = append(want, fmt.Sprint("g", i))
				}
				b.Hear(Reply{Relay: b.relay, Start: b.start, Want: want})
			}
			w := b.Word(1 << 62)
			e := w.Encode()
			if len(e) > WordMost {
				t.Fatalf("%d bytes", len(e))
			}
			r, err := DecodeWord(e)
			if err != nil || !reflect.DeepEqual(w, r) {
				t.Fatalf("%v\n%+v\n%+v", err, w, r)
			}
			for _, a := range w.Items {
				told[a.Name] = true
			}
			for _, d := range w.Does {
				done[d.Item] = true
			}
		}
		for name, ok := range noted {
			if ok != told[name] {
				t.Fatalf("%s: noted %v, told %v", name, ok, told[name])
			}
		}
		if len(done) != min(n, DoingsMost) {
			t.Fatalf("%d of %d counts told", len(done), min(n, DoingsMost))
		}
	})
}

func FuzzWord(f *testing.F) {
	b := NewBook("n1", 7)
	b.Note(1, Item{Bans, 3, 4}, "record")
	b.Refuse(1, Item{"config.tls", 3, 4}, "file", "no such key")
	b.Count(Bans, KindOut, 3, 1)
	f.Add(b.Word(9).Encode())
	f.Add([]byte{10, 1, 'a', 42, 2, 10, 0})
	f.Fuzz(func(t *testing.T, in []byte) {
		w, err := DecodeWord(in)
		if err != nil {
			return
		}
		if again, err := DecodeWord(w.Encode()); err == nil && !reflect.DeepEqual(w, again) {
			t.Fatalf("%+v\n%+v", w, again)
		}
		watch := New(Settings{})
		watch.Intend(1, w.Relay, []Item{{Bans, 3, 4}, {"config.tls", 2, 2}})
		watch.Hear(2, w)
		w.Seq++
		watch.Hear(3, w)
		watch.Tick(4)
		watch.Rows()
		if r, ok := watch.Reply(w.Relay); ok && len(r.Encode()) > ReplyMost {
			t.Fatal("a long reply")
		}
	})
}

func FuzzReply(f *testing.F) {
	f.Add(Reply{"n1", 1, 2, []string{Bans}, []string{Bans, Drains}}.Encode())
	f.Fuzz(func(t *testing.T, in []byte) {
		r, err := DecodeReply(in)
		if err != nil {
			return
		}
		if again, err := DecodeReply(r.Encode()); err != nil || !bytes.Equal(again.Encode(), r.Encode()) {
			t.Fatalf("%+v\n%+v %v", r, again, err)
		}
	})
}

// TestDigestGroups: a group's items stand together though another group's name sorts between them, and the leader comes to the same digest.
func TestDigestGroups(t *testing.T) {
	b, w := NewBook("n1", 1), New(Settings{})
	items := []Item{{"config", 1, 2}, {"config-x", 3, 4}, {"config.a", 5, 6}}
	for _, it := range items {
		b.Note(1, it, "")
	}
	if g := b.Word(1).Groups; len(g) != 2 {
		t.Fatal(g)
	}
	slices.Reverse(items)
	w.Intend(1, "n1", items)
	w.Hear(2, b.Word(2))
	if rows := w.Rows(); len(rows) != 0 {
		t.Fatalf("%+v", rows)
	}
}

// TestLongest: beside the longest names, digests of all groups and counts, the longest item still gets its turn.
func TestLongest(t *testing.T) {
	b := NewBook(strings.Repeat("r", RelayMost), 1<<63)
	var want []string
	for i := range ItemsMost {
		name := fmt.Sprintf("%0*d.%0*d", GroupMost, i%GroupsMost, NameMost-GroupMost-1, i)
		want = append(want, GroupOf(name))
		b.Note(-1<<62, Item{name, 1 << 63, 1}, strings.Repeat("f", FromMost))
		b.Refuse(-1<<62, Item{name, 1 << 63, 1}, strings.Repeat("f", FromMost), strings.Repeat("w", WhyMost))
		b.Count(name, strings.Repeat("k", NameMost), 1<<63, 1<<63)
		j, _ := b.find(name)
		b.items[j].Step, b.items[j].Local = 1<<63, true
	}
	b.seq = 1 << 63
	for range 2 * ItemsMost {
		b.Hear(Reply{Relay: b.relay, Start: b.start, Want: want[:GroupsMost]})
		w := b.Word(1 << 62)
		if n := len(w.Encode()); n > WordMost || len(w.Items) == 0 || len(w.Does) == 0 {
			t.Fatalf("%d bytes, %d items, %d counts", n, len(w.Items), len(w.Does))
		}
	}
}
