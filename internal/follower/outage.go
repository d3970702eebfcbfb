package follower

import (
	"context"
	"errors"
	"time"

	"snipedyke/internal/director"
)

// handleFailure reports an outage and delays the next call, except after the
// first failure: that may be a stale connection, so the next call follows
// immediately.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	f.failures++
	if f.failures < 2 {
		return
	}
	f.opts.Post(director.ViewLost{Cause: err.Error()})
	select {
	case <-ctx.Done():
	case <-f.wake:
		// The node that relays the view has one of another era.
	case <-time.After(f.retryDelay(err)):
	}
}

// retryDelay returns the delay after repeated failures. It grows linearly up to
// maxRetryDelay, and is then doubled at a node that need not find out itself when the
// store is back. Whether a store of an older era is the new one, each node finds out
// itself.
func (f *Follower) retryDelay(err error) time.Duration {
	delay := minRetryDelay * time.Duration(f.failures-1)
	if delay <= maxRetryDelay {
		return delay
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.relaying || errors.Is(err, errOlderEra) || f.opts.Clock().Sub(f.relayHeard) >= relayTimeout {
		return maxRetryDelay
	}
	doublings := f.failures - 1 - int(maxRetryDelay/minRetryDelay)

	return min(maxRetryDelay<<min(doublings, 8), maxMemberRetryDelay)
}
