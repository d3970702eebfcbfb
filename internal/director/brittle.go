package director

import (
	"slices"
	"strconv"
	"time"

	"snipedyke/internal/logger"
)

const (
	// declineWindow is the window in which the requests that a brittle endpoint declines
	// are counted. It is slightly longer than the second in which their number is defined,
	// because requests take different times to arrive.
	declineWindow = 1100 * time.Millisecond
	// declinePause is how long a brittle endpoint gets no requests from the node after it
	// has declined one.
	declinePause = 250 * time.Millisecond
	// settledAfter is the time after which the other nodes know of a request in progress,
	// and the endpoint would have declined it.
	settledAfter = 400 * time.Millisecond
	// riskedDeclines is the part of the declines that a brittle endpoint can bear that the
	// nodes risk together. Their views of the load differ.
	riskedDeclines = 0.5
	// selectedRoomPart is the part of the nodes that send a request, for each request that
	// an endpoint has room for, if there are more nodes than that. As selectedPart, it
	// leaves room for the variance of the selection, which lasts roomPeriod.
	selectedRoomPart = 2.0 / 3
	roomPeriod       = 2 * time.Second
	// capacityDecrease multiplies the capacity of an endpoint after a decline, and
	// capacityIncrease is added to it in each second after that.
	capacityDecrease = 0.75
	capacityIncrease = 1.0
	// brittleRetention is how long the statement of one endpoint holds for those of its
	// service that have said nothing. ownRetention is how long what an endpoint has said
	// itself takes precedence over later statements of others.
	brittleRetention = 10 * time.Second
	ownRetention     = 3 * time.Second
	// unheardAfter is the time after which a node that has neither heard of a brittle
	// service nor sent it a request sends one without being selected.
	unheardAfter = 5 * time.Second
)

// brittleness is what the endpoints of a service last said about being brittle.
type brittleness struct {
	maxDeclines float64
	at          time.Time
	// sentAt is when the node last sent the service a request, or zero.
	sentAt time.Time
}

// room holds what the node knows of the room at a brittle endpoint.
type room struct {
	// capacity is the number of requests that the endpoint could run at the same time at
	// the time estimatedAt, as far as is known. It is at least 1.
	capacity    float64
	estimatedAt time.Time
	// unsettled holds when the requests in progress were sent that the endpoint may still
	// decline or the other nodes may not know of, and declined when it has declined
	// requests, oldest first.
	unsettled, declined []time.Time
}

func (r *room) clone() *room {
	if r == nil {
		return nil
	}

	return &room{capacity: r.capacity, estimatedAt: r.estimatedAt, unsettled: slices.Clone(r.unsettled), declined: slices.Clone(r.declined)}
}

// noteBrittle applies what the endpoint of an attempt says about whether it is brittle. A
// response to a request from before it was does not end that.
func (d *Director) noteBrittle(now time.Time, req *request, e EndpointNoticed) {
	id, service := req.endpoint.entry.ID, req.endpoint.entry.Service
	switch {
	case e.InvalidBrittle != "":
		d.log(logger.BrittleIgnored, "request", req.Name, "endpoint", id, "value", e.InvalidBrittle)
	case e.Brittle:
		n := d.noticeOf(now, req.endpoint)
		n.maxDeclines, n.brittleAt = e.MaxDeclines, now
		s := d.brittleServices[service]
		s.maxDeclines, s.at = e.MaxDeclines, now
		d.brittleServices[service] = s
		if !n.brittle {
			n.brittle, n.brittleSince = true, now
			d.emit(Count{Counter: CounterNotices, Label: noticeBrittle})
			d.log(logger.EndpointBrittle, "request", req.Name, "endpoint", id, "service", service,
				"declines", e.MaxDeclines, "nodes", d.fleet.size())
		}
	case req.sentBrittle:
		req.endpoint.soundAt = now
		d.endBrittleness(now, req, req.endpoint)
		// Endpoints of a service are brittle at the same time, and those that get few
		// requests are late to say that they are not.
		for _, other := range req.service.endpoints {
			if other.brittle() && now.Sub(other.notice.brittleAt) >= ownRetention {
				d.endBrittleness(now, req, other)
			}
		}
		if !slices.ContainsFunc(req.service.endpoints, (*endpoint).brittle) {
			delete(d.brittleServices, service)
		}
	}
}

// endBrittleness records that an endpoint is not brittle any more.
func (d *Director) endBrittleness(now time.Time, req *request, e *endpoint) {
	if !e.brittle() {
		return
	}
	e.notice.brittle = false
	d.log(logger.BrittlenessEnded, "request", req.Name, "endpoint", e.entry.ID, "service", e.entry.Service,
		"length", now.Sub(e.notice.brittleSince).String())
}

// brittle reports whether the endpoint has said that it fails if it declines too many
// requests.
func (e *endpoint) brittle() bool { return e.notice != nil && e.notice.brittle }

// declinesOf returns the number of requests that an endpoint can decline in a second, and
// reports whether it is brittle. An endpoint that has said nothing, such as one that has
// just started, is taken for as brittle as the others of its service.
func (d *Director) declinesOf(now time.Time, e *endpoint) (maxDeclines float64, brittle bool) {
	if len(d.brittleServices) == 0 {
		return 0, false
	}
	if e.brittle() {
		return e.notice.maxDeclines, true
	}
	s, ok := d.brittleServices[e.entry.Service]
	brittle = ok && now.Sub(s.at) < brittleRetention && (e.soundAt.IsZero() || now.Sub(e.soundAt) >= ownRetention)

	return s.maxDeclines, brittle
}

// hasRoom reports whether the node may send a request to an endpoint now without the risk
// that the endpoint, if it is brittle, declines too many requests of all nodes.
//
// The free room and the declines that may be risked are divided among the nodes: each may
// have its part in requests that the others do not know of yet.
func (d *Director) hasRoom(now time.Time, e *endpoint) bool {
	maxDeclines, brittle := d.declinesOf(now, e)
	if !brittle {
		return true
	}
	risked, nodes := riskedDeclines*maxDeclines, float64(d.fleet.size())
	running, unsettled := float64(e.load.Running()), 0
	capacity := float64(d.slots(e))
	if capacity == 0 {
		capacity = running + 1
	}
	if r := e.room; r != nil {
		declined := r.declined[firstAfter(r.declined, now.Add(-declineWindow)):]
		if n := len(declined); n > 0 && (float64(n) >= risked/nodes || now.Sub(declined[n-1]) < declinePause) {
			return false
		}
		capacity, unsettled = d.capacity(now, e), len(r.unsettled)-firstAfter(r.unsettled, now.Add(-settledAfter))
	}
	free := capacity - running
	if free < 1 {
		return false
	}
	share := (free + float64(unsettled) + risked) / nodes
	if share >= 1 {
		return unsettled < int(share)
	}

	s := d.brittleServices[e.entry.Service]
	unheard := now.Sub(s.at) >= unheardAfter && now.Sub(s.sentAt) >= unheardAfter

	return unsettled == 0 && (unheard || d.selectedInPeriod(now, e, share*selectedRoomPart, roomPeriod))
}

// capacity returns the number of requests that a brittle endpoint can run at the same time.
func (d *Director) capacity(now time.Time, e *endpoint) float64 {
	capacity := e.room.capacity + capacityIncrease*now.Sub(e.room.estimatedAt).Seconds()
	if slots := d.slots(e); slots > 0 {
		return min(capacity, float64(slots))
	}

	return capacity
}

// slots returns the number of requests that an endpoint processes at the same time, or
// zero if it is not known.
func (d *Director) slots(e *endpoint) int {
	if e.entry.Slots > 0 {
		return e.entry.Slots
	}
	if s := d.serviceOf(e); s != nil && s.Engine != nil {
		return s.Engine.Slots
	}

	return 0
}

// selectedInPeriod is like selected, with different nodes in each period. Nodes that start
// together begin their periods at different times.
func (d *Director) selectedInPeriod(now time.Time, e *endpoint, part float64, period time.Duration) bool {
	elapsed := now.Sub(d.startedAt) + phase(d.opts.Name, period)

	return d.selected(e.entry.ID+" "+strconv.Itoa(int(elapsed/period)), part)
}

// firstAfter returns the index of the first time after another.
func firstAfter(times []time.Time, at time.Time) int {
	i, found := slices.BinarySearchFunc(times, at, time.Time.Compare)
	if found {
		i++
	}

	return i
}

// occupy records that a request is sent to an endpoint that may be brittle.
func (d *Director) occupy(now time.Time, req *request, e *endpoint) {
	if _, req.sentBrittle = d.declinesOf(now, e); !req.sentBrittle {
		return
	}
	if e.room == nil {
		e.room = &room{capacity: float64(max(d.slots(e), e.load.Running(), 1)), estimatedAt: now}
	}
	e.room.unsettled = append(e.room.unsettled[firstAfter(e.room.unsettled, now.Add(-settledAfter)):], now)
	req.unsettledAt = now
	if s, ok := d.brittleServices[e.entry.Service]; ok {
		s.sentAt = now
		d.brittleServices[e.entry.Service] = s
	}
}

// settle records that the endpoint of a request has taken or declined it.
func (r *request) settle(e *endpoint) {
	if r.unsettledAt.IsZero() {
		return
	}
	if i, found := slices.BinarySearchFunc(e.room.unsettled, r.unsettledAt, time.Time.Compare); found {
		e.room.unsettled = slices.Delete(e.room.unsettled, i, i+1)
	}
	r.unsettledAt = time.Time{}
}

// recordDeclined records that an endpoint has declined a request.
func (d *Director) recordDeclined(now time.Time, e *endpoint) {
	r := e.room
	if _, brittle := d.declinesOf(now, e); !brittle || r == nil {
		return
	}
	r.declined = append(r.declined[firstAfter(r.declined, now.Add(-declineWindow)):], now)
	running := float64(e.load.Running() + 1)
	r.capacity, r.estimatedAt = max(capacityDecrease*min(d.capacity(now, e), running), 1), now
}
