package aggregator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// maxObservations bounds the observations in a message.
	maxObservations = 8
	// shiftsPerObservation is the number of shifts that an update gives up for each
	// observation sent to the same node, so that both together stay within the bytes
	// of maxShifts. A shift takes 5 bytes and an observation 9.
	shiftsPerObservation = 2
	// sampleInterval is the least time between two messages without failures. Speeds may
	// be known later than loads, whose shifts they would displace.
	sampleInterval = 2 * UpdateInterval
)

// observations sums up observations by endpoint.
type observations map[uint32]encoder.Observation

func (s observations) add(list []encoder.Observation) {
	for _, o := range list {
		old := s[o.Endpoint]
		s[o.Endpoint] = encoder.Observation{
			Endpoint: o.Endpoint, Attempts: old.Attempts + o.Attempts, Failures: old.Failures + o.Failures,
			Light: addSpeeds(old.Light, o.Light, 1), Busy: addSpeeds(old.Busy, o.Busy, 1),
		}
	}
}

func addSpeeds(a, b encoder.SpeedSum, sign int) encoder.SpeedSum {
	return encoder.SpeedSum{Samples: a.Samples + sign*b.Samples, Log: a.Log + sign*b.Log}
}

// without returns an observation without the part that one node contributed.
func without(o, own encoder.Observation) encoder.Observation {
	return encoder.Observation{
		Endpoint: o.Endpoint, Attempts: o.Attempts - own.Attempts, Failures: o.Failures - own.Failures,
		Light: addSpeeds(o.Light, own.Light, -1), Busy: addSpeeds(o.Busy, own.Busy, -1),
	}
}

// pick returns the observations of endpoints without those in own, which may be nil.
func (s observations) pick(endpoints []uint32, own observations) encoder.ObservationList {
	var list encoder.ObservationList
	for _, endpoint := range endpoints {
		o, known := s[endpoint]
		if !known {
			continue
		}
		if o = without(o, own[endpoint]); o != (encoder.Observation{Endpoint: endpoint}) {
			list = append(list, o)
		}
	}

	return list
}

// nextObserved returns the endpoints whose observations are sent next, at most
// maxObservations: those with failures first, because nodes must stop using such an
// endpoint soon, then those with most samples.
func (a *Aggregator) nextObserved(now time.Time, s observations) []uint32 {
	var list []encoder.Observation
	for _, o := range s {
		at, _ := slices.BinarySearchFunc(list, o, comparePriority)
		if at == maxObservations {
			continue
		}
		list = slices.Insert(list[:min(len(list), maxObservations-1)], at, o)
	}
	if len(list) == 0 || list[0].Failures == 0 && now.Sub(a.samplesSent) < sampleInterval {
		return nil
	}
	a.samplesSent = now
	endpoints := make([]uint32, len(list))
	for i, o := range list {
		endpoints[i] = o.Endpoint
	}

	return endpoints
}

// comparePriority orders observations by how soon they are sent.
func comparePriority(a, b encoder.Observation) int {
	return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(samples(b), samples(a)), cmp.Compare(a.Endpoint, b.Endpoint))
}

func samples(o encoder.Observation) int { return o.Attempts + o.Light.Samples + o.Busy.Samples }

// remove removes the observations of endpoints after they have been sent.
func (s observations) remove(endpoints []uint32) {
	for _, endpoint := range endpoints {
		delete(s, endpoint)
	}
}

// memberObservations returns the message with the node's own observations to its
// speaker.
func (a *Aggregator) memberObservations(now time.Time, speaker netip.Addr) []Output {
	endpoints := a.nextObserved(now, a.observed)
	list := a.observed.pick(endpoints, nil)
	a.observed.remove(endpoints)
	a.discardOthersObservations()
	if len(list) == 0 {
		return nil
	}

	return []Output{{speaker, &encoder.Observations{Centre: a.opts.Centre, List: list}}}
}

// speakerObservations returns the messages with observations that the node sends as
// the speaker, and the most observations in one of them.
func (a *Aggregator) speakerObservations(now time.Time) ([]Output, int) {
	endpoints := a.nextObserved(now, a.fleetObserved)
	if len(endpoints) == 0 {
		return nil, 0
	}
	var out []Output
	if list := a.centreObserved.pick(endpoints, nil); len(list) > 0 {
		for _, name := range a.centreNames() {
			out = append(out, Output{a.centres[name].speaker, &encoder.Observations{Centre: a.opts.Centre, List: list}})
		}
	}
	for _, addr := range a.heardMembers(now) {
		if list := a.fleetObserved.pick(endpoints, a.members[addr].observed); len(list) > 0 {
			out = append(out, Output{addr, &encoder.Observations{List: list}})
		}
	}
	a.fleetObserved.remove(endpoints)
	a.centreObserved.remove(endpoints)
	a.observed.remove(endpoints)
	for _, m := range a.members {
		m.observed.remove(endpoints)
	}

	return out, len(endpoints)
}

// discardOthersObservations drops the observations of other nodes, which only a
// speaker passes on.
func (a *Aggregator) discardOthersObservations() {
	clear(a.fleetObserved)
	clear(a.centreObserved)
	for _, m := range a.members {
		clear(m.observed)
	}
}

// observe adds what the node has observed itself.
func (a *Aggregator) observe(list []encoder.Observation) {
	a.observed.add(list)
	a.centreObserved.add(list)
	a.fleetObserved.add(list)
}

// receiveObservations handles observations of other nodes.
func (a *Aggregator) receiveObservations(now time.Time, from netip.Addr, m *encoder.Observations) {
	speaker := a.speaker(now)
	switch {
	case m.Centre == "":
		if from == speaker {
			a.keepObservations(m.List)
		}
	case speaker != a.opts.Self:
		// The sender does not know the speaker; the next digest names it.
	case m.Centre != a.opts.Centre:
		if c := a.centres[m.Centre]; c != nil && from == c.speaker {
			a.fleetObserved.add(m.List)
			a.keepObservations(m.List)
		}
	default:
		if known := a.members[from]; known != nil {
			if known.observed == nil {
				known.observed = observations{}
			}
			known.observed.add(m.List)
			a.centreObserved.add(m.List)
			a.fleetObserved.add(m.List)
			a.keepObservations(m.List)
		}
	}
}

// maxReceived bounds the received observations that Observations has not returned.
const maxReceived = 4096

func (a *Aggregator) keepObservations(list encoder.ObservationList) {
	if len(a.received)+len(list) <= maxReceived {
		a.received = append(a.received, list...)
	}
}

// Observations returns the observations of other nodes that have been received since
// the last call.
func (a *Aggregator) Observations() []encoder.Observation {
	list := a.received
	a.received = nil

	return list
}
