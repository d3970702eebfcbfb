package director

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

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

// recordCutOff records that an endpoint has cut off an attempt.
func (d *Director) recordCutOff(now time.Time, req *request, e *endpoint, f AttemptFinished) {
	account := ""
	if req.account != nil {
		account = req.account.Name
	}
	d.log(logger.AttemptCutOff, "request", req.Name, "content", strconv.FormatUint(req.fingerprint(), 16), "route", req.route.Name,
		"service", req.service.name, "account", account, "endpoint", e.entry.ID, "took", f.Took.String(), "begun", req.begun(),
		"cause", f.Cause, "parts", formatParts(req.Need.SharedParts))
	if req.usesEngine && !f.Relayed {
		d.isolator.RecordCutOff(now, req.Need.SharedParts, e.number)
	}
}

// failIsolated ends a request if its prompt has a part that is isolated, and
// reports whether it has.
func (d *Director) failIsolated(now time.Time, req *request) bool {
	part, isolated := d.isolator.Isolated(now, req.Need.SharedParts)
	if isolated {
		req.lastCause = "engines have crashed under prompts with part " + strconv.FormatUint(part, 16)
		d.fail(now, req, ReasonHarmful)
	}

	return isolated
}

// logIsolations logs which requests are refused from now on, and which no longer.
func (d *Director) logIsolations(now time.Time) {
	for _, c := range d.isolator.Changes(now) {
		if c.Ends > 0 {
			d.log(logger.RequestsIsolated, "content", "", "part", strconv.FormatUint(c.Part, 16), "ends", c.Ends)
		} else {
			d.log(logger.IsolationEnded, "content", "", "part", strconv.FormatUint(c.Part, 16))
		}
	}
}
