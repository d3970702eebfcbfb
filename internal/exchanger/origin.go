package exchanger

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"snipedyke/internal/aggregator"
	"snipedyke/internal/guarder"
	"snipedyke/internal/logger"
	"snipedyke/pkg/encoder"
)

const (
	// originBatch and queryBatch bound what is sent at once, and batchPause is the
	// time until more is sent, so that a burst neither delays other messages nor
	// overruns the receivers' buffers.
	originBatch = 256
	queryBatch  = 16
	batchPause  = 2 * time.Millisecond
	// maxQueuedOrigins and maxQueuedQueries bound the memory of the queue.
	maxQueuedOrigins = 1 << 14
	maxQueuedQueries = 1 << 12
)

// originQueue holds the announcements and queries that are to be sent. Its lock is
// never held while messages are sent, so that its users do not wait for them.
type originQueue struct {
	// wake has an element if the queue may not be empty.
	wake chan struct{}

	mu sync.Mutex
	// unsent holds the origins that have not been announced. sent holds those that
	// have been announced once since the last update, and repeated those that are
	// announced for the second time.
	unsent, sent, repeated []encoder.Origin
	queries                []encoder.OriginQuery
}

func newOriginQueue() *originQueue { return &originQueue{wake: make(chan struct{}, 1)} }

func (q *originQueue) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// announce adds origins to the queue and returns the number of those that it has
// no room for.
func (q *originQueue) announce(list []encoder.Origin) (left int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(len(list), maxQueuedOrigins-len(q.unsent))
	q.unsent = append(q.unsent, list[:n]...)
	q.notify()

	return len(list) - n
}

// ask adds a query to the queue and reports whether there was room for it.
func (q *originQueue) ask(query encoder.OriginQuery) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queries) >= maxQueuedQueries {
		return false
	}
	q.queries = append(q.queries, query)
	q.notify()

	return true
}

// update queues the origins that have been announced since the last update for a
// second time. Those without room have been announced once.
func (q *originQueue) update() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.sent) == 0 {
		return
	}
	n := min(len(q.sent), maxQueuedOrigins-len(q.repeated))
	q.repeated = append(q.repeated, q.sent[:n]...)
	q.sent = nil
	q.notify()
}

// take removes and returns what is to be sent at once. Both are empty if the queue
// is.
func (q *originQueue) take() ([]encoder.Origin, []encoder.OriginQuery) {
	q.mu.Lock()
	defer q.mu.Unlock()
	first := min(originBatch, len(q.unsent))
	second := min(originBatch-first, len(q.repeated))
	origins := make([]encoder.Origin, 0, first+second)
	origins = append(append(origins, q.unsent[:first]...), q.repeated[:second]...)
	q.sent = append(q.sent, q.unsent[:first]...)
	q.unsent, q.repeated = rest(q.unsent, first), rest(q.repeated, second)
	n := min(queryBatch, len(q.queries))
	queries := q.queries[:n:n]
	q.queries = rest(q.queries, n)

	return origins, queries
}

// rest returns the list without its first n elements, and nil if it is empty, so
// that its memory is released.
func rest[T any](list []T, n int) []T {
	if n == len(list) {
		return nil
	}

	return list[n:]
}

// Announce tells the holders of each origin at once, and again with the next
// update, because messages are lost. It does not block.
func (x *Exchanger) Announce(list []encoder.Origin) {
	if left := x.origins.announce(list); left > 0 {
		x.opts.Logger.Event(logger.MessageSendFailed, "to", "holders", "error", fmt.Sprintf("no room for %d origins", left))
	}
}

// Ask asks the informants for the origin of a stream. It does not block.
func (x *Exchanger) Ask(key uint64, service string) {
	if !x.origins.ask(encoder.OriginQuery{Key: key, Service: service}) {
		x.opts.Logger.Event(logger.MessageSendFailed, "to", "informants", "error", "no room for a query")
	}
}

// sendOrigins sends queued announcements and queries until ctx is done.
func (x *Exchanger) sendOrigins(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.origins.wake:
		}
		for {
			origins, queries := x.origins.take()
			if len(origins) == 0 && len(queries) == 0 {
				break
			}
			guarder.Run(x.opts.Logger, "origins to other nodes", func() { x.sendBatch(origins, queries) })
			if len(origins) < originBatch && len(queries) < queryBatch {
				continue
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(batchPause):
			}
		}
	}
}

// sendBatch sends announcements and queries at once.
func (x *Exchanger) sendBatch(origins []encoder.Origin, queries []encoder.OriginQuery) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := range queries {
		x.send(x.aggregator.AskOrigin(x.opts.Clock(), &queries[i]))
	}
	if len(origins) > 0 {
		x.send(x.aggregator.AnnounceOrigins(x.opts.Clock(), origins))
	}
}

// answer replies to a query if the node knows the origin.
func (x *Exchanger) answer(to netip.Addr, query *encoder.OriginQuery) {
	origin, known := x.opts.Origin(query.Key, query.Service)
	if !known {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.send([]aggregator.Output{{To: to, Message: &encoder.Origins{List: []encoder.Origin{origin}}}})
}
