package scenario

import (
	"path"
	"slices"
)

// Action is what a step of the timeline does. Its values appear in scenario files.
type Action string

// Actions on relays.
const (
	ActionKill            Action = "kill"       // SIGKILL
	ActionStart           Action = "start"      // a new process
	ActionTerminate       Action = "term"       // SIGTERM, then SIGKILL at the earliest time allowed
	ActionStop            Action = "stop"       // SIGSTOP
	ActionPause           Action = "pause"      // SIGSTOP for so short a time that the judge still expects every answer
	ActionContinue        Action = "continue"   // SIGCONT
	ActionOpenIdle        Action = "crowd"      // opens idle connections to the relay
	ActionCloseIdle       Action = "disperse"   // closes the idle connections
	ActionSystemFaults    Action = "trouble"    // steps the relay's wall clock or makes its system calls fail
	ActionEndSystemFaults Action = "calm"       // ends ActionSystemFaults
	ActionCopyState       Action = "copy_state" // copies the state directory, for a later start with OldState
	ActionConfigure       Action = "configure"  // patches the relay's configuration and sends SIGHUP
	ActionCall            Action = "call"       // calls the fleet's HTTP API, as an operator does
)

// Actions on members.
const (
	ActionSilence Action = "silent"  // the member stops answering
	ActionFail    Action = "failing" // the member answers first lines with ERR
	ActionRecover Action = "well"    // ends ActionSilence and ActionFail
	ActionDie     Action = "die"     // the member exits and is removed from discovery
	ActionDrain   Action = "drain"   // the member drains, then exits
	ActionReturn  Action = "return"  // the member starts again
	ActionReplace Action = "replace" // the member drains while a successor starts
)

// Actions on discovery.
const (
	ActionDiscoveryDown    Action = "down"    // calls and watches fail
	ActionDiscoveryUp      Action = "up"      // ends ActionDiscoveryDown
	ActionDiscoverySlow    Action = "late"    // answers are delayed
	ActionDiscoveryFast    Action = "on_time" // ends ActionDiscoverySlow
	ActionDiscoveryRestart Action = "old"     // discovery restarts its generations, below those that relays have seen
)

// Actions on links.
const (
	ActionCut       Action = "cut"         // forwards nothing in either direction
	ActionCutOneWay Action = "cut_one_way" // forwards nothing in the direction from From to To
	ActionImpair    Action = "rough"       // loses, duplicates, delays or throttles the traffic
	ActionHeal      Action = "heal"        // ends ActionCut, ActionCutOneWay and ActionImpair
	ActionReset     Action = "reset"       // resets the open connections
	ActionStall     Action = "stall"       // silently stops forwarding on the open connections
)

// TargetKind is the kind of object that an action applies to.
type TargetKind int

// Kinds of targets.
const (
	TargetRelay TargetKind = iota
	TargetMember
	TargetDiscovery
	TargetLink
)

// discoveryName and frontName are names of link ends. discoveryName is also the target of actions on
// discovery.
const (
	discoveryName = "discovery"
	frontName     = "front"
)

// Leader is the target that stands for the relay that is the fleet's leader at the time of the step.
const Leader = "leader"

// actions holds, for each action, the kind of its target and the action that undoes it, if any.
var actions = map[Action]struct {
	target TargetKind
	undo   Action
}{
	ActionKill: {TargetRelay, ActionStart}, ActionStart: {TargetRelay, ""}, ActionTerminate: {TargetRelay, ActionStart},
	ActionStop: {TargetRelay, ActionContinue}, ActionPause: {TargetRelay, ActionContinue}, ActionContinue: {TargetRelay, ""},
	ActionOpenIdle: {TargetRelay, ActionCloseIdle}, ActionCloseIdle: {TargetRelay, ""},
	ActionSystemFaults: {TargetRelay, ActionEndSystemFaults}, ActionEndSystemFaults: {TargetRelay, ""},
	ActionCopyState: {TargetRelay, ""}, ActionConfigure: {TargetRelay, ""}, ActionCall: {TargetRelay, ""},

	ActionSilence: {TargetMember, ActionRecover}, ActionFail: {TargetMember, ActionRecover}, ActionRecover: {TargetMember, ""},
	ActionDie: {TargetMember, ActionReturn}, ActionDrain: {TargetMember, ActionReturn}, ActionReturn: {TargetMember, ""},
	ActionReplace: {TargetMember, ""},

	ActionDiscoveryDown: {TargetDiscovery, ActionDiscoveryUp}, ActionDiscoveryUp: {TargetDiscovery, ""},
	ActionDiscoverySlow: {TargetDiscovery, ActionDiscoveryFast}, ActionDiscoveryFast: {TargetDiscovery, ""},
	ActionDiscoveryRestart: {TargetDiscovery, ""},

	ActionCut: {TargetLink, ActionHeal}, ActionCutOneWay: {TargetLink, ActionHeal}, ActionImpair: {TargetLink, ActionHeal},
	ActionHeal: {TargetLink, ""}, ActionReset: {TargetLink, ""}, ActionStall: {TargetLink, ""},
}

// targetNames returns the names of the members for TargetMember, otherwise those of the relays.
func (f *File) targetNames(kind TargetKind) []string {
	if kind == TargetMember {
		return f.memberNames()
	}
	return f.relayNames()
}

// linkSources returns the names of the ends at which a link can begin.
func (f *File) linkSources() []string { return append(f.relayNames(), frontName) }

// linkDestinations returns the names of the ends to which a link can lead.
func (f *File) linkDestinations() []string {
	return append(append(f.relayNames(), f.memberNames()...), discoveryName)
}

// matching returns the names that match at least one of the patterns, in the syntax of path.Match.
func matching(patterns, names []string) (out []string) {
	for _, n := range names {
		if slices.ContainsFunc(patterns, func(p string) bool {
			ok, err := path.Match(p, n)
			return ok && err == nil
		}) {
			out = append(out, n)
		}
	}
	return out
}
