package director

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/chooser"
	"snipedyke/internal/isolator"
	"snipedyke/internal/logger"
)

// fingerprint identifies a request of an account, however often it is sent. The halves
// are the hashes of the account and of the content, so that an account cannot send a
// request with the fingerprint of another one's.
func (r *request) fingerprint() uint64 {
	if r.account == nil {
		return uint64(r.Content)
	}

	return xxhash.Sum64String(r.account.Name)<<32 | uint64(r.Content)
}

// beginTime is how long after its answer has begun an attempt may be cut off and still
// count against the request. Requests crash endpoints that begin to run them; a stream that
// is cut off later ran beside another request that did.
const beginTime = time.Second

// subjects returns what an attempt is evidence for or against: the request and its prompt
// parts.
func (r *request) subjects() []isolator.Subject {
	var list []isolator.Subject
	if r.Content != 0 {
		list = append(list, isolator.Subject{ID: r.fingerprint(), Request: true})
	}
	if r.usesEngine {
		for _, part := range r.Need.SharedParts {
			list = append(list, isolator.Subject{ID: part})
		}
	}

	return list
}

// recordEvidence records what the end of an attempt says for or against its request.
func (d *Director) recordEvidence(now time.Time, req *request, e *endpoint, f AttemptFinished) {
	ranOn := !req.beganAt.IsZero() && now.Sub(req.beganAt) >= beginTime
	if f.Result == Answered || ranOn {
		d.recordSound(now, req)
	}
	if f.Result != Broken {
		return
	}
	account := ""
	if req.account != nil {
		account = req.account.Name
	}
	d.log(logger.AttemptCutOff, "request", req.Name, "content", strconv.FormatUint(req.fingerprint(), 16), "route", req.route.Name,
		"service", req.service.name, "account", account, "endpoint", e.entry.ID, "took", f.Took.String(), "begun", req.begun(),
		"cause", f.Cause, "parts", formatParts(req.Need.SharedParts))
	if f.HostRefused || d.link.stranded {
		// The answer may be complete and the endpoint sound, or the node's own links cut off
		// the attempt.
		return
	}
	if !ranOn {
		d.isolator.RecordCutOff(now, now.Add(-f.Took), req.subjects(), e.boot)
	}
	if d.current(e) && !e.checking {
		// The next request may come only when the endpoint is back.
		e.checking = true
		d.emit(CheckEndpoint{Endpoint: e.entry.ID, Address: e.entry.Address, MaxIdle: d.idleLimit(now, req.service.name)})
	}
}

// recordSound records that an answer has shown a request and its prompt parts to be sound.
func (d *Director) recordSound(now time.Time, req *request) {
	if req.Content != 0 {
		d.isolator.RecordAnswer(now, req.fingerprint())
	}
	if !d.isolator.Empty() {
		d.isolator.RecordSound(now, req.subjects())
	}
}

// handleChecked records that an endpoint that was checked has ended.
func (d *Director) handleChecked(now time.Time, c EndpointChecked) {
	e := d.endpoints[c.Endpoint]
	if e == nil || e.entry.Address != c.Address {
		return
	}
	e.checking = false
	if c.Refused {
		d.noteFailedLink(now, d.takeFailedLink(e))
		d.recordEnded(now, e)
		d.checkLinks(now)
	}
}

// isolated returns the subject of a request that is isolated, and reports whether there is
// one.
func (d *Director) isolated(now time.Time, req *request) (isolator.Subject, bool) {
	if d.isolator.Empty() {
		return isolator.Subject{}, false
	}

	return d.isolator.Isolated(now, req.subjects())
}

// suspected reports whether endpoints have cut off the request, and none has answered it
// since.
func (d *Director) suspected(req *request) bool {
	return !d.isolator.Empty() && req.Content != 0 && d.isolator.Suspected(isolator.Subject{ID: req.fingerprint(), Request: true})
}

// chooseForSuspect returns the endpoint for a suspected request, or nil. It follows from
// the request alone, so that all nodes send it to the same endpoint and lose one at a time,
// and suspects that were cut off together go to different ones.
func (d *Director) chooseForSuspect(req *request, candidates []*chooser.Engine) *endpoint {
	var chosen *endpoint
	var highest uint64
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], req.fingerprint())
	var digest xxhash.Digest
	for _, engine := range candidates {
		digest.Reset()
		_, _ = digest.Write(key[:])
		_, _ = digest.WriteString(engine.ID)
		if score := digest.Sum64(); chosen == nil || score > highest {
			chosen, highest = d.endpoints[engine.ID], score
		}
	}

	return chosen
}

// failIsolated ends a request if it or a part of its prompt is isolated, and reports
// whether it has.
func (d *Director) failIsolated(now time.Time, req *request) bool {
	subject, isolated := d.isolated(now, req)
	if !isolated {
		return false
	}
	if subject.Request {
		req.lastCause = "endpoints have ended under this request"
		d.fail(now, req, ReasonHarmfulRequest)
	} else {
		req.lastCause = "engines have crashed under prompts with part " + strconv.FormatUint(subject.ID, 16)
		d.fail(now, req, ReasonHarmfulPrompt)
	}

	return true
}

// logIsolations logs which requests are refused from now on, and which no longer.
func (d *Director) logIsolations(now time.Time) {
	for _, c := range d.isolator.Changes(now) {
		content, part := "", strconv.FormatUint(c.Subject.ID, 16)
		if c.Subject.Request {
			content, part = part, ""
		}
		if c.Ends > 0 {
			d.log(logger.RequestsIsolated, "content", content, "part", part, "ends", c.Ends)
		} else {
			d.log(logger.IsolationEnded, "content", content, "part", part)
		}
	}
}
