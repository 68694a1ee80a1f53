// Package fakes implements fake versions of the outside systems that the relay talks to (discovery, pool members, NATS servers) and
// of the network between them, for tests, benchmarks and fault scenarios. Each is written from the protocol's public description.
package fakes

// Host is the loopback address that the fakes listen on. A scenario run takes one of its own before it opens any fake: otherwise a
// port that one run has released could be another run's a moment later and receive traffic meant for the first.
var Host = "127.0.0.1"
