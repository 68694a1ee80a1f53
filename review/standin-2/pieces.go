package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"

	"dahliarudder/internal/fakes"
)

// The case "pieces": a member that writes a line in two pieces begins to drain between them.
const (
	piecesPause = 900 * time.Millisecond // between the two pieces of a line
	piecesDrain = 100 * time.Millisecond // after the first piece
)

func playPieces(p *play) (broken bool, err error) {
	servers, err := newPool(p, 3)
	if err != nil {
		return false, err
	}
	discovery, err := servers.openFor("relay-1")
	if err != nil {
		return false, err
	}
	r, err := newRelay(p, "relay-1", discovery, 1)
	if err != nil {
		return false, err
	}
	process, err := r.run("", nil)
	if err != nil {
		return false, err
	}
	if err := awaitReady(process, r.operator, 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	for _, m := range servers.members {
		m.pause = piecesPause
	}
	c, err := net.Dial("tcp", r.listen)
	if err != nil {
		return false, unusable("%v", err)
	}
	defer c.Close()
	const id = "00000000004713cc"
	fmt.Fprintf(c, "OPEN %s %s c=pay-status,t=water,d=2000,h=2\r\n", id, id)
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(c)
	up, err := in.ReadString('\n')
	if err != nil || !strings.HasPrefix(up, "UP ") {
		return false, unusable("the client got %q, %v", up, err)
	}
	holder, _, _ := strings.Cut(strings.TrimPrefix(up, "UP "), "-")
	p.logf("the client's connection is at %s", holder)
	fmt.Fprint(c, "hello\r\n")
	time.Sleep(piecesDrain)
	if p.trouble {
		servers.discovery.SetLifecycle(holder, fakes.Draining)
		p.logf("%s drains", holder)
	}
	var lines []string
	moved := false
	for len(lines) < 2 && !moved {
		line, err := in.ReadString('\n')
		p.logf("client got %q, %v", line, err)
		if err != nil {
			p.logf("the client's connection ended without MOVE")
			return true, nil
		}
		if moved = line == "MOVE\r\n"; !moved {
			lines = append(lines, line)
			fmt.Fprint(c, "again\r\n")
		}
	}
	return false, nil
}
