package netloop

import "time"

// turnDuration is how long a connection that sends at full speed may hold the loop before all others have
// their turn.
const turnDuration = 250 * time.Microsecond

// beginTurn begins the turn of a connection.
func (c *Conn) beginTurn() { c.loop.turnStart = c.loop.now() }

func (c *Conn) turnOver() bool { return c.loop.now()-c.loop.turnStart >= turnDuration }

// YieldIfTurnOver ends the connection's turn if it has lasted for turnDuration, and reports whether it
// did. A handler that can use many messages in one call of Data calls it between two of them. If it
// returns true, Data returns what it has consumed, and gets the rest in the next round.
func (c *Conn) YieldIfTurnOver() bool {
	if !c.turnOver() {
		return false
	}
	if !c.yielded {
		c.yielded = true
		c.loop.yielded = append(c.loop.yielded, c)
	}
	return true
}

// resumeYielded gives the connections that yielded in the last round their next turn.
func (l *Loop) resumeYielded(conns []*Conn) {
	for _, c := range conns {
		c.yielded = false
		if !c.readPaused {
			c.beginTurn()
			c.ResumeReading()
		}
	}
}
