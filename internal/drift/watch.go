package drift

// Watch is the leader's view of all relays. All calls come from one goroutine.
type Watch struct{ set Settings }

// New makes a Watch that knows nothing.
func New(set Settings) *Watch { return &Watch{set: set} }

// Intend says what is agreed for a relay, all of it. It makes the relay known; no items forget it.
func (w *Watch) Intend(now int64, relay string, items []Item) {}

// Hear takes what a relay says it has applied and did.
func (w *Watch) Hear(now int64, word Word) {}

// Saw takes that others saw a relay do otherwise than an item asks, each time that it is seen anew.
func (w *Watch) Saw(now int64, relay, item, evidence string) {}

// Alive says what others know of a relay's process.
func (w *Watch) Alive(now int64, relay string, how Life) {}

// Tick is due once in a period. It returns what changed since the last one.
func (w *Watch) Tick(now int64) []Change { return nil }

// Rows is all that is not in step, by relay and item.
func (w *Watch) Rows() []Row { return nil }

// History is the last changes, oldest first.
func (w *Watch) History() []Change { return nil }

// Blocks says why a release must not step on, as to the relays that count: one of them is late or worse, or was not heard. "" if nothing.
func (w *Watch) Blocks(relays []string) string { return "" }

// Lacking is which of the relays are not known to be in step with an item.
func (w *Watch) Lacking(item string, relays []string) []string { return nil }

// Want is the groups of which a relay is asked for details.
func (w *Watch) Want(relay string) []string { return nil }

// Reply is what to send a relay back; false if there is nothing to say.
func (w *Watch) Reply(relay string) (Reply, bool) { return Reply{}, false }

// TakeOut is which relays are to take no clients because of drift: never more than the budget, those that are out by it already and still
// drift first, then the worst.
func (w *Watch) TakeOut(budget int, out []string) []string { return nil }

// Bound is how long a version of an item's group may be on its way now, in ms.
func (w *Watch) Bound(group string) int64 { return 0 }

// Counts is what could not be used.
func (w *Watch) Counts() Counts { return Counts{} }
