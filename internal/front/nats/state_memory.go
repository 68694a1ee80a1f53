package nats

// What a subscription and a request of a proxy take in memory besides their texts, in bytes, with their
// requests in the core.
const (
	subscriptionMemory = 2 << 10
	requestMemory      = 2 << 10
)

// memoryBudget limits the memory that clients take with what they leave open: subscriptions, and requests
// whose attempts proxies make. Each client has limits of its own, but there may be many clients.
type memoryBudget struct {
	limit int // in bytes; 0 for none
	used  int
}

// reserve reserves memory, and reports whether it was within the limit.
func (b *memoryBudget) reserve(bytes int) bool {
	if b.limit > 0 && b.used+bytes > b.limit {
		return false
	}
	b.used += bytes
	return true
}

func (b *memoryBudget) release(bytes int) { b.used -= bytes }
