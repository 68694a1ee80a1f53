package window

// This file manages the memory of a window: the ring of messages and the buffer with their text.

// Buffer returns the buffer to which the text of the next message is appended before Put. It has
// room for at least size more bytes.
func (w *Window) Buffer(size int) []byte {
	if len(w.text)+size > cap(w.text) {
		live, old := w.text, w.text
		if !w.Idle() {
			live = w.text[w.at(w.head).textStart-w.base:]
		}
		w.base += len(w.text) - len(live)
		w.text = append(textPool.get(max(len(live)+size, 2*len(live))), live...)
		textPool.put(old)
	}
	return w.text
}

// grow replaces the ring with one from the pool that holds at least size messages.
func (w *Window) grow(size int) {
	old := *w
	w.ring = ringPool.get(max(size, minRing))
	w.ring = w.ring[:cap(w.ring)]
	for n := w.head; n < w.next; n++ {
		*w.at(n) = *old.at(n)
	}
	ringPool.put(old.ring)
}

// compact drops the answered messages, starting with the oldest, until it reaches one without a
// final answer. If the window is then empty, it returns memory above the minimum to the pools.
func (w *Window) compact() {
	for w.head < w.acked {
		m := w.at(w.head)
		if m.state != answered {
			return
		}
		w.bytes -= m.textEnd - m.textStart
		m.Name = ""
		w.head++
	}
	if w.Idle() {
		if w.base += len(w.text); cap(w.text) > minText {
			textPool.put(w.text)
			w.text = nil
		} else {
			w.text = w.text[:0]
		}
		if len(w.ring) > minRing {
			ringPool.put(w.ring)
			w.ring = nil
		}
		return
	}
	if dropped := w.at(w.head).textStart - w.base; dropped > len(w.text)/2 {
		w.text = w.text[:copy(w.text, w.text[dropped:])]
		w.base += dropped
	}
}
