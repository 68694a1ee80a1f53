package drift

// Book is in which a relay notes what it has applied and counts what it does. All calls come from one goroutine.
type Book struct{}

// NewBook makes the book of a process. Start is above that of every process of this name before it, as a wall clock in milliseconds is.
func NewBook(relay string, start uint64) *Book { return &Book{} }

// Note says that an item was applied as agreed. It ends what was refused or local of it. False: there is no room.
func (b *Book) Note(now int64, item Item, from string) bool { return false }

// Refuse says that a version was not taken, and why. What it runs stays.
func (b *Book) Refuse(now int64, item Item, from, why string) bool { return false }

// Local says that an operator's call at this relay changed an item, by whom. Version and digest are what it runs now.
func (b *Book) Local(now int64, item Item, by string) bool { return false }

// Step says that the relay has come further with the next version of an item.
func (b *Book) Step(name string) {}

// Drop says that it runs no such item any more.
func (b *Book) Drop(name string) {}

// Count adds to what it did. False: there is no room.
func (b *Book) Count(item, kind string, count, astray uint64) bool { return false }

// Hear takes the leader's reply. It returns the items to be taken from the record anew.
func (b *Book) Hear(r Reply) (tell []string) { return nil }

// Word is what to say now. Its encoding is no longer than WordMost.
func (b *Book) Word(now int64) Word { return Word{} }
