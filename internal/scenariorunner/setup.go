package scenariorunner

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"time"

	"dahliarudder/internal/fakes"
	"dahliarudder/internal/scenario"
)

// setUp opens the fakes and starts the relays.
func (r *run) setUp() error {
	for _, f := range []func() error{r.openLinks, r.addRelays, r.openDiscovery, r.routeVoters, r.routeRelays} {
		if err := f(); err != nil {
			return err
		}
	}
	for _, n := range r.relays {
		if err := n.writeConfig(); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// openLinks prepares the links that the plan breaks. Links between relays get a UDP proxy; route
// adds the TCP proxies.
func (r *run) openLinks() error {
	for pair := range r.plan.BrokenLinks() {
		l := &link{}
		if pair.IsRelayToRelay() {
			udp, err := fakes.NewUDPProxy(r.plan.Seed + uint64(len(r.links)))
			if err != nil {
				return err
			}
			l.udp = udp
		}
		r.links[pair] = l
	}
	return nil
}

// addRelays creates the relays with their names and addresses.
func (r *run) addRelays() error {
	zones := site(r.settings).Zones
	for i := range r.File.Relays.Count {
		n := &relay{run: r, name: fmt.Sprintf("n%d", i), index: i, zone: i % len(zones)}
		n.dir = filepath.Join(r.dir, n.name)
		for _, at := range []*string{&n.listenAddr, &n.operatorAddr, &n.gossipAddr, &n.consensusAddr, &n.fleetAddr} {
			addr, err := r.freeAddr()
			if err != nil {
				return err
			}
			*at = addr
		}
		r.relays, r.usage[n.name] = append(r.relays, n), &usage{}
	}
	return nil
}

// openDiscovery opens the members and a discovery service that lists them.
func (r *run) openDiscovery() error {
	var entries []fakes.Entry
	for i := range r.File.Members.Count {
		m, err := r.newMember(i, 0)
		if err != nil {
			return err
		}
		entries = append(entries, m.entry)
	}
	r.discovery = fakes.NewDiscovery(entries...)
	r.discovery.SetPropagationDelay(scenario.Millis(r.File.Discovery.PropagationDelayMs))
	r.discovery.OnCall = func(string) { r.locked(func(at time.Duration) { r.listCalls.Add(at, 1) }) }
	r.discovery.OnDelivered = r.recordMemberUpdates
	r.discovery.OnWritten = func(relay string, bytes int) { r.locked(func(time.Duration) { r.usage[relay].listBytes += bytes }) }
	return nil
}

// routeVoters sets the addresses at which each relay reaches the fleet's voters.
func (r *run) routeVoters() error {
	if !r.configured("fleet") {
		return nil
	}
	for _, n := range r.relays {
		n.voterAddrs = map[string]string{}
		for _, voter := range r.voters() {
			addr, err := r.route(n.name, voter.name, voter.consensusAddr, nil)
			if err != nil {
				return err
			}
			n.voterAddrs[voter.name] = addr
		}
	}
	return nil
}

// voters returns the relays that vote in the fleet.
func (r *run) voters() []*relay { return r.relays[:min(r.File.Relays.Voters, len(r.relays))] }

// routeRelays sets the address at which each relay reaches discovery, and those at which the front
// reaches the relays.
func (r *run) routeRelays() error {
	r.front = newFront(r)
	for _, n := range r.relays {
		addr, err := r.discovery.Open(n.name, func(e fakes.Entry) string { return r.memberAddr(n.name, e) })
		if err != nil {
			return err
		}
		if n.discoveryAddr, err = r.route(n.name, "discovery", addr, nil); err != nil {
			return err
		}
		if r.front.addrs[n.name], err = r.route("front", n.name, n.listenAddr, nil); err != nil {
			return err
		}
	}
	return nil
}

// route returns the address at which one end of a link reaches the other: that of a new proxy if the
// plan breaks the link, otherwise addr. It sets the proxy's OnCallerClosed to onCallerClosed.
func (r *run) route(from, to, addr string, onCallerClosed func(from string)) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.links[scenario.Link{From: from, To: to}]
	if l == nil {
		return addr, nil
	}
	p, err := fakes.NewTCPProxy(addr)
	if err != nil {
		return "", err
	}
	p.OnCallerClosed = onCallerClosed
	p.SetImpairment(l.forward, l.backward)
	l.proxies = append(l.proxies, p)
	return p.Addr(), nil
}

const (
	// The relays' ports are below the ephemeral range: while a relay is down, an outgoing connection
	// could take an ephemeral port.
	firstRelayPort, lastRelayPort = 12000, 32000
	maxPortTries                  = 200
)

// freeAddr returns a loopback address that is free for TCP and UDP and was not returned before.
func (r *run) freeAddr() (string, error) {
	for range maxPortTries {
		addr := fmt.Sprintf("%s:%d", fakes.Host, firstRelayPort+rand.IntN(lastRelayPort-firstRelayPort))
		if r.usedAddrs[addr] {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", addr)
		l.Close()
		if err == nil {
			u.Close()
			r.usedAddrs[addr] = true
			return addr, nil
		}
	}
	return "", fmt.Errorf("no free port on %s found in %d attempts", fakes.Host, maxPortTries)
}
