package follower

import (
	"context"

	"snipedyke/internal/guarder"
)

// Confirm reads the changes of the store soon, in addition to the watch in progress,
// so that the view is known to be complete as of a time after the call. It does not
// block. The read is not repeated if it fails.
func (f *Follower) Confirm() {
	select {
	case f.confirmRequested <- struct{}{}:
	default:
	}
}

// confirmOnRequest makes the calls for Confirm until ctx ends. One call serves all
// requests that were made before it began.
func (f *Follower) confirmOnRequest(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.confirmRequested:
		}
		guarder.Run(f.opts.Logger, "shared view", func() { f.confirmNow(ctx) })
		sleep(ctx, confirmInterval)
	}
}

// confirmNow makes one call for Confirm. Its failures do not count as an outage:
// the watch finds out whether there is one.
func (f *Follower) confirmNow(ctx context.Context) {
	sent := f.opts.Clock()
	list, revision, _ := f.nextCall()
	if list {
		// The list in progress confirms the view.
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, confirmCallTimeout)
	defer cancel()
	view, err := f.call(callCtx, func() (View, error) { return f.opts.Source.Watch(callCtx, revision, 0) })
	if err != nil {
		return
	}
	// A failure is an answer of an older era, which is ignored.
	_, _ = f.applyWatch(view, sent)
}
