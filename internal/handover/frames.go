package handover

import (
	"encoding/json"

	"golang.org/x/sys/unix"
)

// maxFrame bounds a frame on the socket; a message may need several. The first byte of a
// frame says whether more follow.
const maxFrame = 60 << 10

const (
	frameContinues = '+'
	frameFinal     = '.'
)

func closeAll(fds []int) {
	for _, fd := range fds {
		unix.Close(fd)
	}
}

// messageAssembler joins the frames of a message.
type messageAssembler struct{ text []byte }

// add returns the message that a frame completes, nil if more frames follow.
func (p *messageAssembler) add(frame []byte) (*Message, error) {
	p.text = append(p.text, frame[1:]...)
	if frame[0] == frameContinues {
		return nil, nil
	}
	m := &Message{}
	err := json.Unmarshal(p.text, m)
	p.text = nil
	return m, err
}
