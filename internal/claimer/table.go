package claimer

import (
	"bytes"
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// recordTTL is the time for which a record is kept, and answerTTL the time
	// for which its answer is kept.
	recordTTL = 24 * time.Hour
	answerTTL = 15 * time.Minute
	// maxRecords is the number of keys at which a witness stops granting claims
	// of new keys. Records from other nodes are stored up to maxStoredRecords,
	// because a witness that cannot store what it pulls cannot vouch for its
	// keys.
	maxRecords       = 200_000
	maxStoredRecords = 2 * maxRecords
	// maxBodySize is the maximum size of a stored body in bytes, and
	// maxAnswerBytes bounds the size of all stored answers.
	maxBodySize    = 64 << 10
	maxAnswerBytes = 16 << 20
	// sweepInterval is the time between two removals of expired records.
	sweepInterval = time.Minute
	// compactThreshold is the number of interned coordinators above which a
	// sweep drops the unused ones.
	compactThreshold = 4096
)

// coordinator is one incarnation of a node.
type coordinator struct {
	node        string
	incarnation uint64
}

// record is the state of a subject. It is kept small, as there may be
// maxStoredRecords of them.
type record struct {
	claim  uint64
	answer *encoder.Answer
	// createdS is the time of creation in seconds since the table's base.
	createdS int32
	// coordinator is an index into the table's coordinators.
	coordinator uint32
	state       uint8
}

// table stores records by subject, and interns their coordinators.
type table struct {
	base         time.Time
	records      map[encoder.Subject]record
	coordinators []coordinator
	indexes      map[coordinator]uint32
	// answerBytes is the approximate size of all stored answers.
	answerBytes int
	sweptAt     time.Time
}

func newTable() *table {
	return &table{records: map[encoder.Subject]record{}, indexes: map[coordinator]uint32{}}
}

// intern returns the index of a coordinator, which it adds if it is new.
func (t *table) intern(c coordinator) uint32 {
	n, ok := t.indexes[c]
	if !ok {
		n = uint32(len(t.coordinators))
		t.coordinators = append(t.coordinators, c)
		t.indexes[c] = n
	}

	return n
}

func (t *table) seconds(now time.Time) int32 {
	if t.base.IsZero() {
		t.base, t.sweptAt = now, now
	}

	return int32(now.Sub(t.base) / time.Second)
}

func (t *table) get(now time.Time, s encoder.Subject) (record, bool) {
	r, ok := t.records[s]
	if !ok || t.expired(now, r) {
		return record{}, false
	}
	if r.answer != nil && t.seconds(now)-r.createdS >= int32(answerTTL/time.Second) {
		r.answer = nil
	}

	return r, true
}

// expired reports whether a record has outlived recordTTL. It is up to one
// second late, because createdS is rounded down.
func (t *table) expired(now time.Time, r record) bool {
	return t.seconds(now)-r.createdS > int32(recordTTL/time.Second)
}

func (t *table) put(s encoder.Subject, r record) {
	t.answerBytes += answerSize(r.answer) - answerSize(t.records[s].answer)
	if t.answerBytes > maxAnswerBytes && r.answer != nil {
		t.answerBytes -= answerSize(r.answer)
		r.answer = nil
	}
	t.records[s] = r
}

func (t *table) remove(s encoder.Subject) {
	t.answerBytes -= answerSize(t.records[s].answer)
	delete(t.records, s)
}

// merge merges a record of another node into the table. It returns false if the
// table is full.
func (t *table) merge(now time.Time, in encoder.Record) bool {
	if in.Age < 0 || in.Age > recordTTL.Microseconds() {
		return true
	}
	if in.State != encoder.RecordClaimed && in.State != encoder.RecordDone && in.State != encoder.RecordContested {
		return true
	}
	from := record{
		claim: in.Claim, state: in.State, answer: withoutLongBody(in.Answer),
		coordinator: t.intern(coordinator{in.Node, in.Incarnation}),
		createdS:    t.seconds(now) - int32(in.Age/1e6),
	}
	old, ok := t.get(now, in.Subject)
	switch {
	case !ok && len(t.records) >= maxStoredRecords:
		return false
	case !ok:
		t.put(in.Subject, from)
	case old.state == encoder.RecordDone:
		if old.answer == nil && from.state == encoder.RecordDone && from.answer != nil {
			t.put(in.Subject, from)
		}
	case from.state == encoder.RecordDone:
		t.put(in.Subject, from)
	case old.coordinator != from.coordinator || from.state == encoder.RecordContested:
		// One of the two coordinators won, and it is unknown which. If only the
		// other's record were stored, its release would free the key.
		old.state, old.createdS = encoder.RecordContested, max(old.createdS, from.createdS)
		t.put(in.Subject, old)
	default:
		old.claim, old.createdS = max(old.claim, from.claim), max(old.createdS, from.createdS)
		t.put(in.Subject, old)
	}

	return true
}

// wireRecord returns the record as it is encoded in messages.
func (t *table) wireRecord(now time.Time, s encoder.Subject, r record) encoder.Record {
	c := t.coordinators[r.coordinator]
	age := max(0, int64(t.seconds(now)-r.createdS)) * 1e6

	return encoder.Record{
		Subject: s, State: r.state, Node: c.node, Incarnation: c.incarnation,
		Claim: r.claim, Age: age, Answer: r.answer,
	}
}

// subjects returns the subjects whose records match, in sorted order.
func (t *table) subjects(pass func(encoder.Subject, record) bool) []encoder.Subject {
	var out []encoder.Subject
	for s, r := range t.records {
		if pass(s, r) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b encoder.Subject) int { return bytes.Compare(a[:], b[:]) })

	return out
}

// sweep removes expired records and answers and unused coordinators, at most
// once in sweepInterval.
func (t *table) sweep(now time.Time) {
	t.seconds(now)
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for s, r := range t.records {
		if t.expired(now, r) {
			t.remove(s)
		} else if got, _ := t.get(now, s); got.answer != r.answer {
			t.put(s, got)
		}
	}
	if len(t.coordinators) > compactThreshold {
		old := t.coordinators
		t.coordinators, t.indexes = nil, map[coordinator]uint32{}
		for _, s := range t.subjects(func(encoder.Subject, record) bool { return true }) {
			r := t.records[s]
			r.coordinator = t.intern(old[r.coordinator])
			t.records[s] = r
		}
	}
}

// answerSize returns the approximate size of an answer in memory, in bytes.
func answerSize(a *encoder.Answer) int {
	if a == nil {
		return 0
	}
	n := 96 + len(a.Body)
	for _, h := range a.Headers {
		n += 32 + len(h.Name) + len(h.Value)
	}

	return n
}

// withoutLongBody returns the answer without its body if the body is longer
// than maxBodySize.
func withoutLongBody(a *encoder.Answer) *encoder.Answer {
	if a == nil || len(a.Body) <= maxBodySize {
		return a
	}
	short := *a
	short.Body, short.Cut = nil, true

	return &short
}
