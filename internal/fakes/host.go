package fakes

// Host is the address of the loopback that all stand-ins listen at. A rehearsal takes one of its own before it opens any, or a port that one
// rehearsal has given back could be another's a moment later, and get what was meant for the first.
var Host = "127.0.0.1"
