package nats

// protocolError is an error of the NATS protocol. Its text is sent to the client after -ERR.
type protocolError string

func (e protocolError) Error() string { return string(e) }

const (
	errProtocol            protocolError = "Unknown Protocol Operation"
	errParse               protocolError = "Parser Error"
	errMaxControlLine      protocolError = "maximum control line exceeded"
	errMaxPayload          protocolError = "Maximum Payload Violation"
	errHeadersNotSupported protocolError = "message headers not supported"
	errInvalidSubject      protocolError = "Invalid Subject"
	errInvalidPublish      protocolError = "Invalid Publish Subject"
	errMaxConnections      protocolError = "maximum connections exceeded"
	errMaxSubscriptions    protocolError = "maximum subscriptions exceeded"
	errTLSRequired         protocolError = "Secure Connection - TLS Required"
	errAuthorization       protocolError = "Authorization Violation"
	errAuthTimeout         protocolError = "Authentication Timeout"
	errAuthExpired         protocolError = "User Authentication Expired"
	errSlowConsumer        protocolError = "Slow Consumer"
	errStaleConnection     protocolError = "Stale Connection"
	errMemory              protocolError = "Memory Limit Exceeded"
)
