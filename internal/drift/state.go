package drift

func (s State) String() string {
	return [...]string{"in step", "on its way", "late", "refused", "gone back", "ahead", "local", "contradicts", "not heard"}[min(s, NotHeard)]
}
