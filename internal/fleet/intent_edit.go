package fleet

import (
	"cmp"
	"fmt"
	"maps"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// intentEdit applies one command to a copy of the intent.
type intentEdit struct {
	*intent
	at          int64
	by          string
	nextVersion uint64 // the version of the intent if the command changes anything
}

// apply applies a command and returns "", or returns why the command is rejected. The reasons are
// answers to commands and must not change.
func (e *intentEdit) apply(c *intentCommand, releases *rollout.State) string {
	switch {
	case c.Release != "":
		return e.followRelease(c, releases)
	case c.Uniform:
		if c.BaseVersion != e.Version {
			// Intent has changed since the controller planned this command.
			return fmt.Sprintf("it was reckoned from version %d, this is %d", c.BaseVersion, e.Version)
		}
		e.setAll(c.Items)
	case c.Operator != "":
		e.by = c.Operator[:min(len(c.Operator), rollout.MaxNameBytes)]
		if c.ReplaceAll {
			e.dropSectionsExcept(c.Items)
		}
		e.setAll(c.Items)
	default:
		e.setMissing(c.Items)
	}
	return ""
}

// setAll sets the intent of the items for all relays.
func (e *intentEdit) setAll(items map[string]string) {
	for name, value := range items {
		e.set(name, value)
	}
}

// setMissing sets the intent of those of the items that have none, for all relays.
func (e *intentEdit) setMissing(items map[string]string) {
	for name, value := range items {
		if len(e.Items[name]) == 0 {
			e.set(name, value)
		}
	}
}

// set sets the intent of an item for all relays and removes the intent of single relays for it.
func (e *intentEdit) set(name, value string) {
	for relay, items := range e.PerRelay {
		if _, ok := items[name]; ok {
			e.Version = e.nextVersion
		}
		if delete(items, name); len(items) == 0 {
			delete(e.PerRelay, relay)
		}
	}
	values := e.Items[name]
	if len(values) > 0 && values[0].Value == value {
		return
	}
	e.Version = e.nextVersion
	values = append([]intendedValue{{value, e.nextVersion, e.at, e.by}}, values...)
	e.Items[name] = values[:min(len(values), 1+maxFormerValues)]
}

// dropSectionsExcept removes the intent of all configuration sections that have no value in items.
func (e *intentEdit) dropSectionsExcept(items map[string]string) {
	dropped := func(name string) bool { return items[name] == "" && name != drift.ItemProgram }
	for name := range e.Items {
		if dropped(name) {
			delete(e.Items, name)
			e.Version = e.nextVersion
		}
	}
	for relay, values := range e.PerRelay {
		maps.DeleteFunc(values, func(name string, _ intendedValue) bool { return dropped(name) })
		if len(values) == 0 {
			delete(e.PerRelay, relay)
		}
	}
}

// setFor sets the intent of an item for a single relay.
func (e *intentEdit) setFor(relay, name, value string) {
	if current, ok := e.valueFor(relay, name); ok && current.Value == value {
		return
	}
	e.Version = e.nextVersion
	if e.PerRelay[relay] == nil {
		e.PerRelay[relay] = map[string]intendedValue{}
	}
	e.PerRelay[relay][name] = intendedValue{value, e.nextVersion, e.at, e.by}
}

// followRelease adopts the values of a completed release of relays, or restores the intent from
// before a release that was rolled back. The program is the one that the release names. The
// configuration sections come with the command: the leader has them from relays that run the
// configuration.
func (e *intentEdit) followRelease(c *intentCommand, releases *rollout.State) string {
	release, ok := releases.Release(c.Release)
	_, adopted := e.Adopted[c.Release]
	switch {
	case !ok || !changesIntent(&release):
		// The record has no such release, or it is one that does not change intent.
		return "no release of a program or a configuration: " + c.Release
	case release.State == rollout.ReleaseCompleted && !adopted:
		e.adopt(&release, c.Items)
	case release.State == rollout.ReleaseRolledBack && adopted:
		e.revert(&release)
	default:
		// Intent follows a release only when it completes, and when an adopted one has been rolled back.
		return fmt.Sprintf("release %q is %s, nothing follows from it now", c.Release, cmp.Or(release.State, "not there"))
	}
	return ""
}

// adopt sets intent to the values of a completed release and stores the previous intent.
func (e *intentEdit) adopt(release *rollout.ReleaseStatus, reported map[string]string) {
	previous := map[string]string{}
	for name, values := range e.Items {
		if specChangesItem(&release.Spec, name) {
			previous[name] = values[0].Value
		}
	}
	e.Adopted[release.Name] = adoptedRelease{release.OpenedAt, previous}

	items := map[string]string{}
	if release.Spec.Config != "" {
		items = configItems(reported)
	}
	hasSections := len(items) > 0
	if release.Spec.Program != "" {
		items[drift.ItemProgram] = release.Spec.Program
	}
	if release.Spec.All {
		if hasSections {
			e.dropSectionsExcept(items)
		}
		e.setAll(items)
		return
	}
	for _, unit := range release.Units {
		for name, value := range items {
			if unit.Updated {
				e.setFor(unit.Name, name, value)
			}
		}
	}
}

// revert restores the intent from before an adopted release that was rolled back.
func (e *intentEdit) revert(release *rollout.ReleaseStatus) {
	previous := e.Adopted[release.Name].Previous
	delete(e.Adopted, release.Name)
	if release.Spec.All {
		if release.Spec.Config != "" {
			e.dropSectionsExcept(previous)
		}
		e.setAll(previous)
		return
	}
	for _, unit := range release.Units {
		if unit.Updated {
			continue // this unit was not rolled back
		}
		e.dropChanged(unit.Name, release)
		if release.Spec.Program != "" && unit.PreviousProgram != "" {
			e.setFor(unit.Name, drift.ItemProgram, unit.PreviousProgram)
		}
	}
}

// dropChanged removes a relay's own intent for the items that a release changes.
func (e *intentEdit) dropChanged(relay string, release *rollout.ReleaseStatus) {
	values := e.PerRelay[relay]
	if values == nil {
		return
	}
	for name := range values {
		if specChangesItem(&release.Spec, name) {
			delete(values, name)
			e.Version = e.nextVersion
		}
	}
	if len(values) == 0 {
		delete(e.PerRelay, relay)
	}
}
