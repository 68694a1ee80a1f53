package scenario

import (
	"path"
	"slices"
)

// Action is what a step of the timeline does. The values are the scenario file's.
type Action string

// Actions on relays.
const (
	ActionKill         Action = "kill"       // SIGKILL
	ActionStart        Action = "start"      // a new process
	ActionTerminate    Action = "term"       // SIGTERM, then SIGKILL at the earliest time allowed
	ActionStop         Action = "stop"       // SIGSTOP
	ActionPause        Action = "pause"      // SIGSTOP, too short to excuse anything
	ActionContinue     Action = "continue"   // SIGCONT
	ActionCrowd        Action = "crowd"      // opens idle connections
	ActionDisperse     Action = "disperse"   // closes them
	ActionSystemFaults Action = "trouble"    // steps the wall clock, fails system calls
	ActionSystemHealth Action = "calm"       // ends that
	ActionCopyState    Action = "copy_state" // copies the state directory for a later start
	ActionConfigure    Action = "configure"  // patches the configuration and sends SIGHUP
	ActionCall         Action = "call"       // an operator calls the fleet's API
)

// Actions on members.
const (
	ActionSilence Action = "silent"  // the member answers nothing
	ActionFail    Action = "failing" // the member answers first lines with ERR
	ActionRecover Action = "well"    // ends both
	ActionDie     Action = "die"     // the member ends and is removed from discovery
	ActionDrain   Action = "drain"   // the member drains, then ends
	ActionReturn  Action = "return"  // the member starts again
	ActionReplace Action = "replace" // the member drains while a successor starts
)

// Actions on discovery.
const (
	ActionDiscoveryDown    Action = "down"    // calls and watches fail
	ActionDiscoveryUp      Action = "up"      // ends that
	ActionDiscoverySlow    Action = "late"    // answers are delayed
	ActionDiscoveryFast    Action = "on_time" // ends that
	ActionDiscoveryRestart Action = "old"     // generations begin again
)

// Actions on links.
const (
	ActionCut       Action = "cut"         // both directions
	ActionCutOneWay Action = "cut_one_way" // the direction from From to To
	ActionImpair    Action = "rough"       // loss, duplication, delay, jitter, rate
	ActionHeal      Action = "heal"        // ends any of these
	ActionReset     Action = "reset"       // resets the open connections
	ActionStall     Action = "stall"       // silently stops the open connections
)

// TargetKind is what an action applies to.
type TargetKind int

// Kinds of targets.
const (
	TargetRelay TargetKind = iota
	TargetMember
	TargetDiscovery
	TargetLink
)

// discoveryName and frontName are ends of links; discoveryName is also the target of actions on discovery.
const (
	discoveryName = "discovery"
	frontName     = "front"
)

// Leader as a target stands for the relay that leads the fleet at the time of the step.
const Leader = "leader"

// actions holds each action's kind of target, and the action that undoes it, if any.
var actions = map[Action]struct {
	target TargetKind
	undo   Action
}{
	ActionKill: {TargetRelay, ActionStart}, ActionStart: {TargetRelay, ""}, ActionTerminate: {TargetRelay, ActionStart},
	ActionStop: {TargetRelay, ActionContinue}, ActionPause: {TargetRelay, ActionContinue}, ActionContinue: {TargetRelay, ""},
	ActionCrowd: {TargetRelay, ActionDisperse}, ActionDisperse: {TargetRelay, ""},
	ActionSystemFaults: {TargetRelay, ActionSystemHealth}, ActionSystemHealth: {TargetRelay, ""},
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

// targetNames are the names of the relays or of the members.
func (f *File) targetNames(kind TargetKind) []string {
	if kind == TargetMember {
		return f.memberNames()
	}
	return f.relayNames()
}

// linkSources are the names that a link can lead from.
func (f *File) linkSources() []string { return append(f.relayNames(), frontName) }

// linkDestinations are the names that a link can lead to.
func (f *File) linkDestinations() []string {
	return append(append(f.relayNames(), f.memberNames()...), discoveryName)
}

// matching returns the names that match some pattern.
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
