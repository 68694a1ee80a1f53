package rollout

import (
	"cmp"
	"slices"
)

// Quarantine is a relay that takes no clients because it drifted, or one that was readmitted and is
// still tracked. The commands "shut" and "admit" and their answers call a quarantined relay shut.
type Quarantine struct {
	Name        string `json:"name"`
	Zone        string `json:"zone,omitempty"`
	Reason      string `json:"why,omitempty"`
	Since       int64  `json:"since"`
	StartNumber uint64 `json:"start"`
	Number      uint64 `json:"number"`
	// The state's version that readmitted it; counts as out until it has applied that version and
	// serves.
	ReadmittedVersion uint64 `json:"opened,omitempty"`
	// Readmitted by an operator: not quarantined again until it no longer drifts, or until it restarts.
	OperatorOverride bool `json:"let,omitempty"`
	InService        bool `json:"back,omitempty"` // it serves; the entry stays only for OperatorOverride
}

// quarantine takes a drifted relay out of service if the budget allows it, so that drift at half of the
// fleet does not take half of the fleet out.
func (rec *record) quarantine(at int64, c *Command) Result {
	if c.ViewSummary == nil || c.Name == "" || len(c.Zone) > MaxNameBytes {
		// Name or ViewSummary is missing, or the zone is too long.
		return reject("who is shut has a name and a zone, and what it was reckoned from")
	}
	if reason := rec.stalePlanReason(at, c); reason != "" {
		return reject("%s", reason)
	}
	previous := rec.findQuarantine(c.Name)
	switch {
	case previous != nil && previous.ReadmittedVersion == 0:
		return reject("%s is shut", previous.Name)
	case previous != nil && previous.OperatorOverride:
		return reject("an operator admitted %s as it is", previous.Name)
	case previous == nil && len(rec.Quarantines) >= MaxQuarantines:
		return reject("%d relays are shut", MaxQuarantines)
	}
	if reason := rec.allowance(KindRelay, c.ViewSummary.Relays, c.ViewSummary.Budgets).reserveQuarantine(c.Name, c.Zone, c.Capacity); reason != "" {
		return reject("%s", reason)
	}
	rec.Version++
	number := rec.nextNumber()
	rec.Quarantines = slices.DeleteFunc(rec.Quarantines, func(q Quarantine) bool { return q.Name == c.Name })
	rec.Quarantines = append(rec.Quarantines, Quarantine{Name: c.Name, Zone: c.Zone, Reason: c.Reason, Since: at, StartNumber: c.StartNumber, Number: number})
	return Result{Name: c.Name, State: string(CommandQuarantine), Number: number}
}

// readmit lets a relay take clients again. The relay counts as out until it is seen to serve.
func (rec *record) readmit(c *Command) Result {
	q, byLeader := rec.findQuarantine(c.Name), c.Cause != ""
	switch {
	case q == nil || q.ReadmittedVersion != 0 && (byLeader || q.OperatorOverride):
		return reject("%q is not shut", c.Name)
	case byLeader && c.BaseVersion != rec.Version:
		return reject("it was reckoned from version %d, this is %d", c.BaseVersion, rec.Version)
	}
	rec.Version++
	q.ReadmittedVersion, q.OperatorOverride = cmp.Or(q.ReadmittedVersion, rec.Version), !byLeader
	return Result{Name: q.Name, State: string(CommandReadmit)}
}

// confirmReadmitted records that a readmitted relay was seen to serve, or removes its entry if it needs no
// more tracking.
func (rec *record) confirmReadmitted(o *Observation) (changed bool) {
	i := slices.IndexFunc(rec.Quarantines, func(q Quarantine) bool { return q.Number == o.Quarantine && q.ReadmittedVersion != 0 })
	switch {
	case i < 0:
		return false
	case o.Phase == PhaseMissing || o.Phase == PhaseDone && !rec.Quarantines[i].OperatorOverride:
		rec.Quarantines = slices.Delete(rec.Quarantines, i, i+1)
	case o.Phase == PhaseDone && !rec.Quarantines[i].InService:
		rec.Quarantines[i].InService = true
	default:
		return false
	}
	return true
}
