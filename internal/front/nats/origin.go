package nats

import (
	"bytes"
	"strconv"
)

// originHeader marks the publications of a client with echo off, so that the relay recognizes them on the client's
// subscriptions: these use other connections to members than its feed.
const originHeader = "Dahlia-Origin: "

// originID is the header's value for this client.
func (c *client) originID() string { return c.front.Name + "-" + strconv.FormatUint(c.id, 10) }

// addOrigin adds the origin to a publication's headers.
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

// removeOrigin removes the origin from a message's headers, and returns it.
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
	// The message is in the link's buffer, which is read once: the bytes before the line are
	// moved up to its end.
	copy(m.payload[lineLen:start+lineLen], m.payload[:start])
	m.payload, m.headerLen = m.payload[lineLen:], m.headerLen-lineLen
	if string(m.payload[:m.headerLen]) == "NATS/1.0\r\n\r\n" {
		m.payload, m.headerLen = m.payload[m.headerLen:], 0
	}
	return origin
}
