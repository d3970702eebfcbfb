package runner

import (
	"time"

	"snipedyke/internal/listener"
	"snipedyke/internal/reducer"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// apply executes an effect of the reducer. It does not block.
func (n *Node) apply(now time.Time, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.Send:
		n.opts.Peers.Send(e.To, e.Message)
	case reducer.Dispatch:
		n.dispatch(e)
	case reducer.Cancel:
		n.dispatcher.Cancel(e.ID, e.Permit)
	case reducer.Refuse:
		if c := n.removeCall(e.ID); c != nil {
			c.Caller.Refuse(listener.NewProblem(e.Reason, e.Run, e.RetryAfter))
		}
	case reducer.Reply:
		if c := n.removeCall(e.ID); c != nil {
			c.Caller.Reply(e.Answer, e.Run)
		}
	case reducer.Close:
		if c := n.removeCall(e.ID); c != nil {
			c.Caller.Close(e.Reason)
		}
	case reducer.ForwardTo:
		n.forward(now, e)
	case reducer.Probe:
		if endpoint := n.endpoint(e.Endpoint); endpoint != nil {
			n.dispatcher.Probe(endpoint)
		} else {
			n.postAsync(reducer.Probed{Endpoint: e.Endpoint})
		}
	case reducer.Poll:
		if endpoint := n.endpoint(e.Endpoint); endpoint != nil {
			n.dispatcher.Poll(endpoint)
		}
	case reducer.Prepare:
		if endpoint := n.endpoint(e.Endpoint); endpoint != nil {
			n.dispatcher.Prepare(endpoint, e)
		}
	case reducer.FetchFrom:
		n.opts.Fetcher.Fetch(e.Peer)
	case reducer.Log:
		n.opts.Logger.Event(e.Event, e.Args...)
	case reducer.Count:
		n.opts.Meter.Count(e)
	case reducer.Observe:
		n.opts.Meter.Observe(e)
	case reducer.Decided:
		n.decisions.add(Decision{Time: now, Decided: e})
	case reducer.Left:
		n.left = true
		n.ready.Store(false)
	}
}

// dispatch starts an attempt at an endpoint. If the request or the endpoint no
// longer exists, it reports the dispatch as ended unused.
func (n *Node) dispatch(e reducer.Dispatch) {
	c, endpoint := n.calls[e.ID], n.endpoint(e.Endpoint)
	if c == nil || endpoint == nil {
		n.postAsync(reducer.Ended{ID: e.ID, Permit: e.Permit, Outcome: encoder.OutcomeUnused})

		return
	}
	n.dispatcher.Start(e, endpoint, c.Work)
}

// postAsync posts an event from a new goroutine. The goroutine of the reducer
// must not call Post, because it would deadlock on its own full queue.
func (n *Node) postAsync(e reducer.Event) {
	n.asyncPosts.Go(func() { n.Post(e) })
}

// endpoint returns the named endpoint of the catalogue in force, or nil.
func (n *Node) endpoint(name string) *cataloguer.Endpoint {
	c := n.catalogue.Load()
	if c == nil {
		return nil
	}

	return c.Endpoints[name]
}

// removeCall removes a call and returns it, or nil if it was already removed, so
// that its caller is answered at most once.
func (n *Node) removeCall(id uint64) *call {
	c := n.calls[id]
	delete(n.calls, id)

	return c
}
