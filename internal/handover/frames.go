package handover

import (
	"encoding/json"

	"golang.org/x/sys/unix"
)

// maxFrame is the largest payload of one frame on the socket, in bytes; a longer message is split.
// The first byte of each frame says whether more frames of the message follow.
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

// messageAssembler joins the payloads of consecutive frames to one message.
type messageAssembler struct{ text []byte }

// add appends a frame. It returns the decoded message if the frame is the last one of it, and nil
// if more frames follow.
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
