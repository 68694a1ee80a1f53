package rollout

import (
	"cmp"
	"encoding/json"
	"fmt"
)

// Apply changes the state by one command, and answers with a Result as JSON. It is deterministic; an error changes nothing. The record's
// time never runs backwards.
func (s *State) Apply(at int64, by string, body []byte) []byte {
	var c Command
	var result Result
	if err := json.Unmarshal(body, &c); err != nil {
		result = reject("no command: %v", err)
	} else {
		result = s.record.apply(max(at, s.record.Time), truncate(by, MaxNameBytes), &c)
	}
	b, err := json.Marshal(result)
	if err != nil {
		panic(err) // a Result is of strings and numbers
	}
	return b
}

func reject(format string, args ...any) Result { return Result{Error: fmt.Sprintf(format, args...)} }

func truncate[S ~string](text S, maxBytes int) S {
	if len(text) > maxBytes {
		return text[:maxBytes]
	}
	return text
}

// apply dispatches a command. Each handler checks everything before it changes anything.
func (rec *record) apply(at int64, by string, c *Command) Result {
	c.Reason, c.Requester = truncate(c.Reason, MaxReasonBytes), cmp.Or(truncate(c.Requester, MaxNameBytes), by)
	if len(c.Name) > MaxNameBytes {
		return reject("a name of over %d bytes", MaxNameBytes)
	}
	var result Result
	switch c.Kind {
	case CommandOpen:
		result = rec.openRelease(at, c)
	case CommandRequestPermit:
		result = rec.requestPermit(at, c)
	case CommandBeginPermit:
		result = rec.beginPermit(at, c)
	case CommandReturnPermit:
		result = rec.returnPermit(at, c)
	case CommandHalt, CommandResume, CommandRollBack:
		result = rec.changeReleaseState(at, c)
	case CommandEject, CommandReinstate:
		result = rec.changeEjections(at, c)
	case CommandSetUnits:
		result = rec.setUnits(at, c)
	case CommandStep:
		result = rec.applyStep(at, c)
	case CommandObserve:
		result = rec.observe(at, c)
	case CommandExpirePermits:
		result = rec.expirePermits(at, c)
	case CommandQuarantine:
		result = rec.quarantine(at, c)
	case CommandReadmit:
		result = rec.readmit(c)
	default:
		result = reject("no such command: %q", truncate(c.Kind, MaxNameBytes))
	}
	if result.Error == "" {
		rec.Time = at
		rec.advanceReleases(at)
	}
	return result
}

// stalePlanReason says why what a command was planned from does not hold any more; "" if it does.
func (rec *record) stalePlanReason(at int64, c *Command) string {
	summary, budgets := c.ViewSummary, &c.ViewSummary.Budgets
	switch {
	case c.BaseVersion != rec.Version && plantedDefect != defectNoFencing:
		return fmt.Sprintf("it was reckoned from version %d, this is %d", c.BaseVersion, rec.Version)
	case at-summary.At > budgets.ViewMaxAgeMS:
		return fmt.Sprintf("what it was reckoned from is %d ms old", at-summary.At)
	case budgets.PermitWindowMS <= 0 || budgets.PermitWindowMS > maxPermitDurationMS || !(budgets.ClockDrift >= 0 && budgets.ClockDrift < 1):
		return "a sight without window or clock"
	}
	return ""
}
