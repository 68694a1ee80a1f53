package drift

// Encode is a word as bytes.
func (w Word) Encode() []byte { return nil }

// DecodeWord reads them, whoever wrote them.
func DecodeWord(b []byte) (Word, error) { return Word{}, nil }

// Encode is a reply as bytes.
func (r Reply) Encode() []byte { return nil }

// DecodeReply reads them.
func DecodeReply(b []byte) (Reply, error) { return Reply{}, nil }

// GroupOf is the group of an item: its name up to the first dot.
func GroupOf(item string) string { return item }

// DigestOf is the digest of a group's items.
func DigestOf(items []Applied) uint64 { return 0 }
