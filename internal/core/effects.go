package core

import "dahliarudder/policy"

// This file is what may be done again: the rule on double effects, whatever the module says.

// mayHaveRun says whether an attempt that ended so may have run at its member.
func mayHaveRun(result policy.Result) bool {
	return result != policy.Full && result != policy.ConnectFailed && result != policy.Moot
}

// harmless says whether the client of a request may be told that coming again does no harm.
func (c *Core) harmless(r *request) bool {
	class := c.set.Classes[r.Class]
	return class.Effect == policy.Safe || class.Effect == policy.Keyed && class.Scope == policy.ScopeAll ||
		r.state == placing && !r.ran
}
