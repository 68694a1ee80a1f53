package scenariorunner

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"

	"dahliarudder/internal/atomicfile"
	"dahliarudder/internal/scenario"
)

// object is a JSON object in which the runner sets values.
type object map[string]any

const (
	// maxKnownPeers is the number of other relays that a relay's configuration lists.
	maxKnownPeers = 3
	// seedStride is the difference between the seeds of two relays with successive indexes.
	seedStride = 7919
	gossipKey  = "a key that lives as long as the scenario runs\n"
)

// writeConfig writes the relay's configuration file and gossip key.
func (n *relay) writeConfig() error {
	if err := os.MkdirAll(n.dir, 0o700); err != nil {
		return err
	}
	config := object{}
	for k, v := range n.config {
		config[k] = v
	}
	relaySettings, err := n.relaySettings()
	if err != nil {
		return err
	}
	maps.Copy(config, object{"settings": relaySettings, "name": n.name, "listen": n.listenAddr, "operator": n.operatorAddr,
		"discovery": n.discoveryAddr, "seed": fmt.Sprintf("%x", n.plan.Seed+uint64(n.index)*seedStride+uint64(n.starts))})
	list := n.discovery.Snapshot(nil) // taken before memberAddr, which takes the run's lock
	for i, e := range list.Instances {
		list.Instances[i].Addr = n.memberAddr(n.name, e)
	}
	config["known"] = list   // restarted processes read the same list, which may be outdated by then
	delete(config, "store")  // a scenario writes no records to a store
	delete(config, "fronts") // clients use the line protocol
	for section, configure := range map[string]func(object) error{
		"state": n.configureState, "fleet": n.configureFleet, "peers": n.configurePeers,
	} {
		if !n.configured(section) {
			continue
		}
		values := object{}
		json.Unmarshal(n.config[section], &values)
		if err := configure(values); err != nil {
			return err
		}
		config[section] = values
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.path(configFile), text, 0o600)
}

// relaySettings returns the settings with the values that are specific to this relay.
func (n *relay) relaySettings() (map[string]json.RawMessage, error) {
	all := map[string]json.RawMessage{}
	if err := json.Unmarshal(n.config["settings"], &all); err != nil {
		return nil, err
	}
	for key, value := range map[string]int{"balancers": n.File.Relays.Count, "zone": n.zone, "me": n.index} {
		all[key], _ = json.Marshal(value)
	}
	return all, nil
}

// configureState puts the relay's state into its own directory instead of the configured one.
func (n *relay) configureState(state object) error {
	state["dir"] = n.path(stateDir)
	return nil
}

func (n *relay) configureFleet(fleet object) error {
	voters := map[string]string{}
	for _, voter := range n.voters() {
		voters[voter.name] = voter.consensusAddr
	}
	maps.Copy(fleet, object{"listen": n.consensusAddr, "calls": n.fleetAddr, "dir": n.path(stateDir + "/record"), "voters": voters,
		"reach": n.voterAddrs})
	return nil
}

// configurePeers lists the other relays, with the addresses of the proxies on links that the plan
// breaks.
func (n *relay) configurePeers(peers object) error {
	reach, known := map[string]string{}, []string{}
	for _, other := range n.relays {
		if other == n {
			continue
		}
		addr := other.gossipAddr
		if l := n.links[scenario.Link{From: n.name, To: other.name}]; l != nil {
			addr = l.udp.Addr()
			reach[other.name] = addr
			l.udp.SetTarget(other.gossipAddr)
		}
		if len(known) < maxKnownPeers {
			known = append(known, addr)
		}
	}
	maps.Copy(peers, object{"listen": n.gossipAddr, "known": known, "reach": reach, "key_file": gossipKeyFile})
	delete(peers, "address")
	return os.WriteFile(n.path(gossipKeyFile), []byte(gossipKey), 0o600)
}

// patchConfig merges a patch into the configuration file. The process reads the file on SIGHUP, and
// a new process when it starts.
func (n *relay) patchConfig(patch json.RawMessage) error {
	path := n.path(configFile)
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if text, err = scenario.MergePatch(text, patch); err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// setSystemFaults writes the file from which a test binary that runs as the relay reads which wall
// clock steps and system call failures to simulate. An empty text ends the faults.
func (n *relay) setSystemFaults(text json.RawMessage) error {
	n.systemFaultsVersion++
	faults := object{}
	if len(text) > 0 {
		if err := json.Unmarshal(text, &faults); err != nil {
			return err
		}
	}
	faults["number"] = n.systemFaultsVersion
	numbered, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return atomicfile.Write(n.path(systemFaultsFile), numbered)
}

// prepareState removes the state directory before the next start, or replaces it by the last copy,
// if the step says so.
func (n *relay) prepareState(s scenario.Step) error {
	state := n.path(stateDir)
	switch {
	case s.LoseState:
		return os.RemoveAll(state)
	case s.OldState:
		if err := os.RemoveAll(state); err != nil {
			return err
		}
		return os.CopyFS(state, os.DirFS(n.path(stateCopyDir)))
	}
	return nil
}

// copyState copies the state directory for a later start. The process may write to it meanwhile, so
// the copy may be inconsistent, like a copy of a disk in use.
func (n *relay) copyState() error {
	old := n.path(stateCopyDir)
	if err := os.RemoveAll(old); err != nil {
		return err
	}
	return os.CopyFS(old, os.DirFS(n.path(stateDir)))
}
