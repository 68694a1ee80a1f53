package scenariorunner

import (
	"context"
	"sync"
)

// background owns the goroutines of a run that may outlive the clients and the timeline.
type background struct {
	ctx    context.Context // cancelled when the run ends
	cancel context.CancelFunc
	all    sync.WaitGroup
}

func newBackground(ctx context.Context) *background {
	b := &background{}
	b.ctx, b.cancel = context.WithCancel(ctx)
	return b
}

// start runs f in a goroutine. The context passed to f is cancelled when the run ends.
func (b *background) start(f func(ctx context.Context)) { b.all.Go(func() { f(b.ctx) }) }

// stop cancels the context of all goroutines; wait waits until they have returned.
func (b *background) stop() { b.cancel() }

func (b *background) wait() { b.all.Wait() }
