package reducer

import (
	"time"

	"snipedyke/pkg/encoder"
)

// maxIssuedKeys limits the number of issued keys whose outcomes a node keeps.
const maxIssuedKeys = 200_000

// issuedOutcomeTTL is the time for which the outcome of an issued key is kept;
// a request that arrives later is answered "may have run".
const issuedOutcomeTTL = 24 * time.Hour

// issuedKey is the state of a key that this node issued and that has been
// used. As long as it exists, no other request may run with the key.
type issuedKey struct {
	number uint64
	since  time.Time
	done   bool
	// answer is nil if the outcome is unknown or the answer was not kept.
	answer *encoder.Answer
	// waiting lists the IDs of the requests that wait for the outcome.
	waiting []uint64
}

// handleIssuedKey processes a request whose key was issued by a node. Only the
// incarnation that issued the key may run the request.
func (r *Reducer) handleIssuedKey(now time.Time, req *request) {
	key, ok := r.issuer.Verify(req.Key)
	if !ok {
		r.refuse(now, req, ReasonIssuerLost, encoder.MayHaveRun, 0)

		return
	}
	node, incarnation := key.Node, key.Incarnation
	if node != r.opts.Self {
		live, ok := r.detector.Incarnation(node)
		if !ok || live != incarnation || req.Forwarded {
			r.refuse(now, req, ReasonIssuerLost, encoder.MayHaveRun, 0)

			return
		}
		r.emit(ForwardTo{ID: req.ID, Peer: node})
		r.recordDecision(req, "forwarded", "", node)
		r.endRequest(now, req)

		return
	}
	if incarnation != r.opts.Incarnation || key.Number <= r.issuedFloor {
		r.refuse(now, req, ReasonIssuerLost, encoder.MayHaveRun, 0)

		return
	}
	state := r.issuedKeys[req.key]
	switch {
	case state == nil && len(r.issuedKeys) >= maxIssuedKeys:
		r.refuse(now, req, ReasonRecordsFull, encoder.NotRun, time.Minute)
	case state == nil:
		r.issuedKeys[req.key] = &issuedKey{number: key.Number, since: now}
		req.issuedHere = true
		r.claimRun(now, req)
	case state.done:
		r.replyStored(now, req, state.answer)
	default:
		state.waiting = append(state.waiting, req.ID)
	}
}

// finishIssued records the outcome of an issued key and answers the requests
// that wait for it. A key that was abandoned before its request ran may be used
// again.
func (r *Reducer) finishIssued(now time.Time, key encoder.Subject, answer *encoder.Answer, abandoned bool) {
	state := r.issuedKeys[key]
	if state == nil {
		return
	}
	waiting := state.waiting
	state.waiting = nil
	if abandoned {
		delete(r.issuedKeys, key)
	} else {
		state.done, state.answer = true, answer
	}
	for _, id := range waiting {
		req := r.requests[id]
		switch {
		case req == nil:
		case abandoned:
			r.refuse(now, req, ReasonClaimUnavailable, encoder.NotRun, time.Second)
		default:
			r.replyStored(now, req, answer)
		}
	}
}

// expireIssued drops outcomes older than issuedOutcomeTTL, and raises
// issuedFloor so that a request with a dropped key is refused and cannot run
// again.
func (r *Reducer) expireIssued(now time.Time) {
	for key, state := range r.issuedKeys {
		if state.done && now.Sub(state.since) > issuedOutcomeTTL {
			r.issuedFloor = max(r.issuedFloor, state.number)
			delete(r.issuedKeys, key)
		}
	}
}
