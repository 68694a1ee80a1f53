package scenariorunner

import (
	"context"
	"sync"
)

// background owns the goroutines of a run that may outlive its clients and its timeline.
type background struct {
	ctx    context.Context // ends with the run
	cancel context.CancelFunc
	all    sync.WaitGroup
}

func newBackground(ctx context.Context) *background {
	b := &background{}
	b.ctx, b.cancel = context.WithCancel(ctx)
	return b
}

// start runs f in a goroutine. The context ends with the run.
func (b *background) start(f func(ctx context.Context)) { b.all.Go(func() { f(b.ctx) }) }

// stop makes the goroutines end; wait waits for them.
func (b *background) stop() { b.cancel() }

func (b *background) wait() { b.all.Wait() }
