package follower

import (
	"slices"

	"snipedyke/internal/aggregator"
	"snipedyke/internal/director"
	"snipedyke/pkg/encoder"
)

// relayIsFresh reports whether a recent view of another node makes reading the
// store unnecessary.
func (f *Follower) relayIsFresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.listed && !f.behind && f.opts.Clock().Sub(f.relayConfirmed) < maxRelayAge
}

// SetRelaying sets whether the node relays the view to others.
func (f *Follower) SetRelaying(relaying bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relaying = relaying
}

// View returns the view to be relayed to others.
func (f *Follower) View() aggregator.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	era, last := f.era, f.revision

	return aggregator.View{Era: era, Revision: last, Table: f.table, Confirmed: f.confirmed, Since: func(revision uint64) ([]encoder.Item, bool) {
		return f.changesBetween(era, revision, last)
	}}
}

// changesBetween returns the changes of an era after one revision up to another,
// or false if they are not known or too large for a message.
func (f *Follower) changesBetween(era, after, last uint64) ([]encoder.Item, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era != f.era || after < f.historyStart {
		return nil, false
	}
	end := len(f.history)
	for end > 0 && f.history[end-1].Revision > last {
		end--
	}
	size, at := 0, end
	for at > 0 && f.history[at-1].Revision > after {
		at--
		size += relaySize(f.history[at])
	}
	if size > maxRelaySize {
		return nil, false
	}

	return f.history[at:end:end], true
}

// ApplyRelayed applies a view relayed by another node. It ignores a view of an
// older era or revision than the node's own, and one that arrives before the first
// list. A view that was confirmed earlier than the node's own shows that the node
// need not call the store. If changes are missing, because the view is of a newer
// era or has a gap, the next call is a list.
func (f *Follower) ApplyRelayed(r aggregator.RelayedView) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relayHeard = f.opts.Clock()
	switch {
	case !f.listed, r.Era < f.storeEra, r.Era == f.era && r.Revision < f.revision:
		return
	case r.Era > f.era && !r.Confirmed.After(f.confirmed):
		// The store has been rebuilt since.
		return
	case r.Era > f.era, r.Gap && r.Revision > f.revision:
		f.behind = true
		select {
		case f.wake <- struct{}{}:
		default:
		}

		return
	}
	if r.Confirmed.After(f.relayConfirmed) {
		f.relayConfirmed, f.relayed = r.Confirmed, true
	}
	later := r.Confirmed.After(f.confirmed)
	if !later && r.Revision == f.revision {
		return
	}
	f.endOutage(r.Confirmed)
	view := View{Revision: r.Revision}
	for _, item := range r.Items {
		if c, ok := f.opts.Source.Decode(item); ok {
			view.Changes = append(view.Changes, c)
		}
	}
	f.applyChanges(view)
	if later {
		f.behind, f.confirmed = false, r.Confirmed
		f.opts.Post(director.ViewConfirmed{At: r.Confirmed})
	}
}

// CompareTable reports to the director if another node has a newer routing table,
// although its view is not newer than the node's own: the store has lost the table.
func (f *Follower) CompareTable(t aggregator.TableState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newer := t.Era > f.era || t.Era == f.era && t.Revision > f.revision
	if f.listed && !newer && t.Table > f.table {
		f.opts.Post(director.TableMissing{Version: t.Table})
	}
}

// appendHistory adds an item to the history. When the history holds too many items,
// or more bytes than can be sent, it drops the oldest items until half of what is
// allowed is left, or nothing if the item alone exceeds it.
func (f *Follower) appendHistory(item encoder.Item) {
	f.history = append(f.history, item)
	f.historySize += relaySize(item)
	if len(f.history) <= maxHistory && f.historySize <= maxHistorySize {
		return
	}
	drop := 0
	for drop < len(f.history) && (len(f.history)-drop > maxHistory/2 || f.historySize > maxHistorySize/2) {
		f.historySize -= relaySize(f.history[drop])
		f.historyStart = f.history[drop].Revision
		drop++
	}
	// The rest is copied, as slices that changesBetween has returned may still be in
	// use, and so that the dropped items can be freed.
	f.history = slices.Clone(f.history[drop:])
}

// relaySize returns the number of bytes that an item takes in a message, without the
// encoding.
func relaySize(item encoder.Item) int { return len(item.Key) + len(item.Data) }
