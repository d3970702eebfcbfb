package runner

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"snipedyke/internal/listener"
	"snipedyke/internal/reducer"
	"snipedyke/pkg/encoder"
)

// maxForwardBytes is the maximum size of a forwarded body, so that the message
// with its other fields fits into a frame of 1 MiB.
const maxForwardBytes = 900 << 10

// forward sends a call to the peer that issued its idempotency key.
func (n *Node) forward(now time.Time, e reducer.ForwardTo) {
	c := n.calls[e.ID]
	if c == nil {
		return
	}
	if len(c.Work.Body) > maxForwardBytes {
		n.removeCall(e.ID).Caller.Refuse(&listener.Problem{
			Status:  http.StatusRequestEntityTooLarge,
			Code:    listener.CodeTooLarge,
			Message: "the body is too large to be forwarded to the node that issued the key",
			// An earlier request with the same key may have run.
			Run: encoder.MayHaveRun,
		})

		return
	}
	limit := n.opts.ForwardTimeout
	if d := c.Request.Deadline; d > 0 {
		limit = min(limit, d)
	}
	c.peer, c.expires = e.Peer, now.Add(limit)
	service := c.Request.Service
	if c.Request.Model != "" {
		service = ""
	}
	n.opts.Peers.Send(e.Peer, &encoder.Forward{
		ID:       e.ID,
		Entry:    c.Request.Entry,
		Service:  service,
		Method:   c.Work.Method,
		Path:     c.Work.Path,
		Key:      c.Request.Key,
		Headers:  c.Work.Headers,
		Body:     c.Work.Body,
		Deadline: c.Request.Deadline.Microseconds(),
	})
}

// handleForwardReply answers the caller of a call that was forwarded to a peer.
func (n *Node) handleForwardReply(from string, m *encoder.ForwardReply) {
	c := n.calls[m.ID]
	if c == nil || c.peer != from {
		return
	}
	n.removeCall(m.ID)
	if m.Code == "" {
		c.Caller.Reply(m.Answer, m.Run)

		return
	}
	c.Caller.Refuse(listener.NewProblem(reducer.Reason(m.Code), m.Run, 0))
}

// failForwardsTo refuses the calls that were forwarded to a lost peer.
func (n *Node) failForwardsTo(peer string) {
	n.failForwards(func(c *call) bool { return c.peer == peer })
}

// expireForwards refuses the forwarded calls whose time limit has passed.
func (n *Node) expireForwards(now time.Time) {
	n.failForwards(func(c *call) bool { return c.peer != "" && !now.Before(c.expires) })
}

// failForwards refuses the forwarded calls for which match returns true.
func (n *Node) failForwards(match func(*call) bool) {
	for id, c := range n.calls {
		if match(c) {
			n.removeCall(id).Caller.Refuse(listener.NewProblem(reducer.ReasonIssuerLost, encoder.MayHaveRun, 0))
		}
	}
}

// handleForward starts a call that a peer has forwarded.
func (n *Node) handleForward(from string, m *encoder.Forward) {
	caller := &remoteCaller{send: func(reply *encoder.ForwardReply) {
		reply.ID = m.ID
		n.opts.Peers.Send(from, reply)
	}}
	catalogue := n.catalogue.Load()
	if catalogue == nil || catalogue.Entries[m.Entry] == nil {
		caller.Refuse(listener.NewProblem(reducer.ReasonNotReady, encoder.MayHaveRun, 0))

		return
	}
	c, p := listener.NewCall(catalogue, listener.InboundRequest{
		Entry:    catalogue.Entries[m.Entry],
		Service:  m.Service,
		Method:   m.Method,
		Path:     m.Path,
		Headers:  m.Headers,
		Key:      m.Key,
		Body:     m.Body,
		Deadline: time.Duration(m.Deadline) * time.Microsecond,
	})
	if p != nil {
		p.Run = encoder.MayHaveRun
		caller.Refuse(p)

		return
	}
	c.Request.Forwarded = true
	caller.isComplete = c.Work.Complete
	c.Caller = caller
	c.Request.ID = n.lastID.Add(1)
	c.Work.Key = m.Key
	n.handle(submitted{c})
}

// remoteCaller is the caller of a call that a peer has forwarded. It buffers a
// streamed answer, because peers accept only complete answers.
type remoteCaller struct {
	send       func(*encoder.ForwardReply)
	isComplete func() bool

	mu     sync.Mutex
	events []byte
}

// Relay implements dispatcher.Sink.
func (r *remoteCaller) Relay(events []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events)+len(events) > maxForwardBytes {
		return listener.ErrCallerGone
	}
	r.events = append(r.events, events...)

	return nil
}

// Refuse implements listener.Caller.
func (r *remoteCaller) Refuse(p *listener.Problem) {
	r.send(&encoder.ForwardReply{Run: p.Run, Code: p.Code})
}

// Reply implements listener.Caller.
func (r *remoteCaller) Reply(answer encoder.Answer, run uint8) {
	if len(answer.Body) > maxForwardBytes {
		answer.Body, answer.Cut = nil, true
	}
	r.send(&encoder.ForwardReply{Answer: answer, Run: run})
}

// Close implements listener.Caller.
func (r *remoteCaller) Close(reason reducer.Reason) {
	if reason == "" && !r.isComplete() {
		reason = reducer.ReasonEndpointLost
	}
	if reason != "" {
		r.send(&encoder.ForwardReply{Run: encoder.MayHaveRun, Code: string(reason)})

		return
	}
	r.mu.Lock()
	body := slices.Concat(r.events, []byte("data: [DONE]\n\n"))
	r.mu.Unlock()
	r.send(&encoder.ForwardReply{Run: encoder.Ran, Answer: encoder.Answer{
		Status:  http.StatusOK,
		Headers: []encoder.Header{{Name: "Content-Type", Value: "text/event-stream"}},
		Body:    body,
	}})
}
