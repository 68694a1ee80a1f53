// Package fakes implements fake versions of the outside systems that the relay talks to (discovery,
// pool members, NATS servers) and of the network between them, for tests, benchmarks and fault
// scenarios. Each fake is written from the public description of its protocol.
package fakes

// Host is the loopback address that all fakes except NATS servers listen on. Each scenario run sets
// its own before it opens a fake. With a shared address, a port that one run has released could be
// reused by another run at once and receive traffic that is meant for the first.
var Host = "127.0.0.1"
