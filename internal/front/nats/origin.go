package nats

import (
	"bytes"
	"strconv"
)

// originHeader marks the publications of a client with echo off, so that the relay can recognize and
// drop them on the client's subscriptions: a feed and the subscriptions use different connections,
// so the members cannot recognize them.
const originHeader = "Dahlia-Origin: "

// originID returns the value of originHeader for this client. Other processes, of this relay too, number
// their clients alike, so it contains the front's instance.
func (c *client) originID() string {
	return c.front.Name + "-" + c.front.instance + "-" + strconv.FormatUint(c.id, 10)
}

// addOrigin returns a copy of a publication with originHeader added.
func (c *client) addOrigin(m *command) *command {
	line := originHeader + c.originID() + "\r\n"
	marked := *m
	if m.headerLen == 0 {
		head := "NATS/1.0\r\n" + line + "\r\n"
		marked.headerLen = len(head)
		marked.payload = append([]byte(head), m.payload...)
		return &marked
	}
	first := bytes.Index(m.payload, []byte("\r\n")) + 2
	marked.headerLen += len(line)
	marked.payload = append(append(append([]byte(nil), m.payload[:first]...), line...), m.payload[first:]...)
	return &marked
}

// removeOrigin removes originHeader from a message, and returns its value, or nil if it is absent.
func removeOrigin(m *command) (origin []byte) {
	start := bytes.Index(m.payload[:m.headerLen], []byte("\r\n"+originHeader))
	if start < 0 {
		return nil
	}
	start += 2
	end := bytes.Index(m.payload[start:m.headerLen], []byte("\r\n"))
	if end < 0 {
		return nil
	}
	origin = append(origin, m.payload[start+len(originHeader):start+end]...)
	lineLen := end + 2
	// The message may be changed, since each byte of the link's buffer is parsed only once: the
	// bytes before the header line are shifted over it.
	copy(m.payload[lineLen:start+lineLen], m.payload[:start])
	m.payload, m.headerLen = m.payload[lineLen:], m.headerLen-lineLen
	if string(m.payload[:m.headerLen]) == "NATS/1.0\r\n\r\n" {
		m.payload, m.headerLen = m.payload[m.headerLen:], 0
	}
	return origin
}
