package line

// The protocol's commands: the first word of a line.
const (
	commandOpen = "OPEN" // client to member: a request
	commandUp   = "UP"   // member to client: the flow is open
	commandBusy = "BUSY" // the request or the health check is rejected
	// The request failed, the first line is malformed, or, in answer to PING, the relay is not ready.
	commandErr  = "ERR"
	commandBye  = "BYE"  // member to client: the flow is complete
	commandMove = "MOVE" // the flow has to be migrated
	commandLoad = "LOAD" // member to relay, on an open flow: the load of the flow
	commandPing = "PING" // client to relay: readiness check
	commandPong = "PONG" // positive answer to PING and STATS
)

// Lines without arguments.
var (
	errLine   = []byte(commandErr + "\r\n")
	busyLine  = []byte(commandBusy + "\r\n")
	moveLine  = []byte(commandMove + "\r\n")
	pongLine  = []byte(commandPong + "\r\n")
	statsLine = []byte("STATS\r\n") // relay to member: request for a load report
)
