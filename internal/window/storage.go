package window

// This file manages the memory of a window: its ring of messages and their text.

// Buffer is where the text of the next message, of that size at least, is appended, for Put.
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

// grow gives the ring a larger one of the pool.
func (w *Window) grow(size int) {
	old := *w
	w.ring = ringPool.get(max(size, minRing))
	w.ring = w.ring[:cap(w.ring)]
	for n := w.head; n < w.next; n++ {
		*w.at(n) = *old.at(n)
	}
	ringPool.put(old.ring)
}

// compact drops the answered messages, from the oldest on, and returns what an idle feed does not need to the pools.
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
