package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// intentEdit is one command's change.
type intentEdit struct {
	*intent
	at   int64
	by   string
	next uint64
}

// setAll means values of all relays. Without over, what is meant already stays.
func (e *intentEdit) setAll(items map[string]string, over bool) {
	for name, value := range items {
		list := e.Items[name]
		if len(list) > 0 && !over {
			continue
		}
		for relay, of := range e.PerRelay {
			if _, ok := of[name]; ok {
				e.Version = e.next
			}
			if delete(of, name); len(of) == 0 {
				delete(e.PerRelay, relay)
			}
		}
		if len(list) > 0 && list[0].Value == value {
			continue
		}
		e.Version = e.next
		list = append([]intendedValue{{value, e.next, e.at, e.by}}, list...)
		e.Items[name] = list[:min(len(list), 1+maxFormerValues)]
	}
}

// dropSectionsExcept means no more the sections that are not named.
func (e *intentEdit) dropSectionsExcept(but map[string]string) {
	gone := func(name string) bool { return but[name] == "" && name != drift.ItemProgram }
	for name := range e.Items {
		if gone(name) {
			delete(e.Items, name)
			e.Version = e.next
		}
	}
	for relay, of := range e.PerRelay {
		maps.DeleteFunc(of, func(name string, _ intendedValue) bool { return gone(name) })
		if len(of) == 0 {
			delete(e.PerRelay, relay)
		}
	}
}

// setOne means a value of one relay, if it is not meant of it already.
func (e *intentEdit) setOne(relay, name, value string) {
	if m, ok := e.valueFor(relay, name); ok && m.Value == value {
		return
	}
	e.Version = e.next
	if e.PerRelay[relay] == nil {
		e.PerRelay[relay] = map[string]intendedValue{}
	}
	e.PerRelay[relay][name] = intendedValue{value, e.next, e.at, e.by}
}

// followRelease follows a release of relays that is over: the new program is what it named, the sections are what the pilot heard of those that run its
// configuration. One that is back means again what was meant before.
func (e *intentEdit) followRelease(c *intentCommand, ro *rollout.State) string {
	a, ok := ro.Release(c.Release)
	was, taken := e.Adopted[c.Release]
	items := map[string]string{}
	if a.Spec.Program != "" {
		items[drift.ItemProgram] = a.Spec.Program
	}
	if a.Spec.Config != "" {
		for name, value := range c.Items {
			if name != drift.ItemProgram {
				items[name] = value
			}
		}
	}
	switch {
	case !ok || a.Spec.Kind != rollout.KindRelay || a.Spec.Program+a.Spec.Config == "":
		return "no release of a program or a configuration: " + c.Release
	case a.State == rollout.ReleaseCompleted && !taken:
		before := map[string]string{}
		for name, list := range e.Items {
			if name == drift.ItemProgram && a.Spec.Program != "" || name != drift.ItemProgram && a.Spec.Config != "" {
				before[name] = list[0].Value
			}
		}
		e.Adopted[c.Release] = adoptedRelease{a.OpenedAt, before}
		if a.Spec.All {
			if slices.ContainsFunc(slices.Collect(maps.Keys(items)), func(n string) bool { return n != drift.ItemProgram }) {
				e.dropSectionsExcept(items)
			}
			e.setAll(items, true)
			return ""
		}
		for _, u := range a.Units {
			for name, value := range items {
				if u.Updated {
					e.setOne(u.Name, name, value)
				}
			}
		}
	case a.State == rollout.ReleaseRolledBack && taken:
		delete(e.Adopted, c.Release)
		if a.Spec.All {
			if a.Spec.Config != "" {
				e.dropSectionsExcept(was.Previous)
			}
			e.setAll(was.Previous, true)
			return ""
		}
		for _, u := range a.Units {
			if of := e.PerRelay[u.Name]; of != nil && !u.Updated {
				for name := range of {
					if name == drift.ItemProgram && a.Spec.Program != "" || name != drift.ItemProgram && a.Spec.Config != "" {
						delete(of, name)
						e.Version = e.next
					}
				}
				if len(of) == 0 {
					delete(e.PerRelay, u.Name)
				}
			}
			if a.Spec.Program != "" && u.PreviousProgram != "" && !u.Updated {
				e.setOne(u.Name, drift.ItemProgram, u.PreviousProgram)
			}
		}
	default:
		return fmt.Sprintf("release %q is %s, nothing follows from it now", c.Release, cmp.Or(a.State, "not there"))
	}
	return ""
}
