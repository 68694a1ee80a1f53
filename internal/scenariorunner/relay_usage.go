package scenariorunner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// userHertz is the number of clock ticks per second of the processor times in /proc/PID/stat.
	userHertz = 100
	// Indexes of the processor times in /proc/PID/stat, counted from the field after the command name.
	statUserTime, statSystemTime = 11, 12
	peakMemoryLine               = "VmHWM:"
	peerStatesTimeout            = time.Second
	maxPeerStates                = 4 << 20 // bytes
)

// usage is a relay's use of other systems, and the highest number of descriptors that it had open.
type usage struct {
	connections, listBytes, descriptors int

	rejections       int           // consecutive rejections, without an attempt at a member in between
	firstRejection   time.Duration // time of the first of them
	longestRejecting time.Duration // length of the longest series of minRejections or more
}

// recordAnswer records a final answer of the relay to a client.
func (u *usage) recordAnswer(at time.Duration, rejected bool) {
	if !rejected {
		u.rejections = 0
		return
	}
	if u.rejections++; u.rejections == 1 {
		u.firstRejection = at
	}
	if u.rejections >= minRejections {
		u.longestRejecting = max(u.longestRejecting, at-u.firstRejection)
	}
}

// recordAttempt records an attempt of the relay at a member, which ends a series of rejections.
func (u *usage) recordAttempt() { u.rejections = 0 }

// openDescriptors returns the number of descriptors that the process has open.
func (n *relay) openDescriptors() int {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(all)
}

// recordUsage records the process's usage before the process is ended. The peak memory that the
// system reports for an ended process is not usable: it includes that of its parent.
func (n *relay) recordUsage() {
	_, memory, sent := n.readUsage()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peakMemory, n.gossipBytes = max(n.peakMemory, memory), n.gossipBytes+sent
}

// readUsage returns the processor seconds and the peak memory in MB over all processes so far, and
// the bytes that the current process has sent to other relays.
func (n *relay) readUsage() (cpu, memory float64, gossipBytes int) {
	n.mu.Lock()
	cpu, memory = n.endedCPU, n.peakMemory
	cmd, runs := n.cmd, n.exitStatus == ""
	n.mu.Unlock()
	if cmd == nil || !runs {
		return cpu, memory, 0
	}
	cpu += processorSeconds(cmd.Process.Pid)
	memory = max(memory, peakMemoryMB(cmd.Process.Pid))
	if n.configured("peers") {
		for _, p := range n.peerStates() {
			gossipBytes += p.Out
		}
	}
	return cpu, memory, gossipBytes
}

func processorSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:])) // the command's name may contain spaces
	if len(fields) <= statSystemTime {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[statUserTime], 64)
	system, _ := strconv.ParseFloat(fields[statSystemTime], 64)
	return (user + system) / userHertz
}

func peakMemoryMB(pid int) (mb float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(text), "\n") {
		if v, ok := strings.CutPrefix(l, peakMemoryLine); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			mb = max(mb, kb/1024)
		}
	}
	return mb
}

// peerState is a relay's view of another relay, as GET /-/peers shows it.
type peerState struct {
	Name, State string
	Out         int `json:"bytes_out"`
}

// peerStates asks the relay for its view of the other relays.
func (n *relay) peerStates() []peerState {
	client := http.Client{Timeout: peerStatesTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + n.operatorAddr + "/-/peers")
	if err != nil {
		return nil
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxPeerStates))
	var body struct{ Peers []peerState }
	json.Unmarshal(text, &body)
	return body.Peers
}
