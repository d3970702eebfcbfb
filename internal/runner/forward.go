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

// maxForward bounds a forwarded body in bytes, so that the message and its
// other fields fit into a frame of 1 MiB.
const maxForward = 900 << 10

// forward hands a call to the peer that issued its key.
func (n *Node) forward(now time.Time, e reducer.ForwardTo) {
	c := n.calls[e.ID]
	if c == nil {
		return
	}
	if len(c.Work.Body) > maxForward {
		n.forget(e.ID).Caller.Refuse(&listener.Problem{
			Status:  http.StatusRequestEntityTooLarge,
			Code:    listener.CodeTooLarge,
			Message: "the body is too large to be forwarded to the node that issued the key",
			// An earlier request with the key may have run.
			Run: encoder.MayHaveRun,
		})

		return
	}
	limit := n.opts.Forward
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

// takeForwardReply answers the caller of a forwarded call.
func (n *Node) takeForwardReply(from string, m *encoder.ForwardReply) {
	c := n.calls[m.ID]
	if c == nil || c.peer != from {
		return
	}
	n.forget(m.ID)
	if m.Code == "" {
		c.Caller.Reply(m.Answer, m.Run)

		return
	}
	c.Caller.Refuse(listener.NewProblem(reducer.Reason(m.Code), m.Run, 0))
}

// loseForwards answers the callers whose calls are at a lost peer.
func (n *Node) loseForwards(peer string) {
	n.endForwards(func(c *call) bool { return c.peer == peer })
}

// expireForwards answers the callers who have waited too long for a peer.
func (n *Node) expireForwards(now time.Time) {
	n.endForwards(func(c *call) bool { return c.peer != "" && !now.Before(c.expires) })
}

func (n *Node) endForwards(isLost func(*call) bool) {
	for id, c := range n.calls {
		if isLost(c) {
			n.forget(id).Caller.Refuse(listener.NewProblem(reducer.ReasonIssuerLost, encoder.MayHaveRun, 0))
		}
	}
}

// takeForward starts a call for a caller at a peer.
func (n *Node) takeForward(from string, m *encoder.Forward) {
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
	caller.whole = c.Work.Whole
	c.Caller = caller
	c.Request.ID = n.lastID.Add(1)
	c.Work.Key = m.Key
	n.take(submitted{c})
}

// remoteCaller is the caller of a forwarded call. A streamed answer is
// collected, as the peer takes only whole answers.
type remoteCaller struct {
	send  func(*encoder.ForwardReply)
	whole func() bool

	mu     sync.Mutex
	events []byte
}

// Relay implements dispatcher.Sink.
func (r *remoteCaller) Relay(events []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events)+len(events) > maxForward {
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
	if len(answer.Body) > maxForward {
		answer.Body, answer.Cut = nil, true
	}
	r.send(&encoder.ForwardReply{Answer: answer, Run: run})
}

// Close implements listener.Caller.
func (r *remoteCaller) Close(reason reducer.Reason) {
	if reason == "" && !r.whole() {
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
