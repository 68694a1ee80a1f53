package rollout

import (
	"cmp"
	"encoding/json"
	"fmt"
)

// Apply changes the state by one command and returns a Result as JSON. It is deterministic. A command
// that is answered with an error changes nothing. A time before that of the last applied command
// counts as that time.
func (s *State) Apply(at int64, by string, body []byte) []byte {
	var c Command
	var result Result
	if err := json.Unmarshal(body, &c); err != nil {
		result = reject("no command: %v", err) // the body is not a JSON command
	} else {
		result = s.record.apply(max(at, s.record.Time), truncate(by, MaxNameBytes), &c)
	}
	b, err := json.Marshal(result)
	if err != nil {
		panic(err) // a Result holds only strings and integers
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

// apply dispatches a command to its handler. Each handler checks everything before it changes anything.
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

// stalePlanReason returns why the state or view that a command was planned from is no longer valid,
// or "". In its texts, "it was reckoned from version" means that the command was planned from an
// older version of the state, and "a sight without window or clock" that the command's budgets have
// no valid PermitWindowMS or ClockDrift.
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
