package claimer

import (
	"crypto/sha256"
	"encoding/binary"

	"snipedyke/pkg/encoder"
)

// Output is an action that the node must perform. Only the types of this
// package implement it.
type Output interface{ output() }

// Send sends a message to a peer. The message may be lost.
type Send struct {
	To      string
	Message encoder.Message
}

// Verdict reports the result of a claim to a request. Each call of Claim leads
// to exactly one verdict for its ID, unless the claim is abandoned.
type Verdict struct {
	ID      uint64
	Kind    uint8
	Subject encoder.Subject
	Result  Result
	// Answer is not nil if Result is Answered.
	Answer *encoder.Answer
}

func (Send) output()    {}
func (Verdict) output() {}

// Result is the result of a claim.
type Result uint8

// The results.
const (
	// Won means that only this node may dispatch the request. It must call
	// Finish or Abandon.
	Won Result = iota + 1
	// Answered means that the key has run; the verdict carries its answer.
	Answered
	// MayHaveRun means that a coordinator of the key may have dispatched it and
	// that its answer is unknown.
	MayHaveRun
	// Unavailable means that too few witnesses answered. This claim led to no
	// dispatch, but an earlier request with the key may have run.
	Unavailable
	// Unverifiable means that the witnesses cannot vouch for the key. An
	// earlier request with the key may have run.
	Unverifiable
	// Full means that the witnesses have no room for another key.
	Full
	// Busy means that another run holds the run claim.
	Busy
)

// String returns the label of the result.
func (r Result) String() string {
	switch r {
	case Won:
		return "won"
	case Answered:
		return "answered"
	case MayHaveRun:
		return "may_have_run"
	case Unavailable:
		return "unavailable"
	case Unverifiable:
		return "unverifiable"
	case Full:
		return "full"
	case Busy:
		return "busy"
	default:
		return "unknown"
	}
}

// KeySubject returns the subject of an account's idempotency key.
func KeySubject(account, key string) encoder.Subject {
	h := sha256.New()
	// The length distinguishes pairs whose concatenations are equal.
	h.Write(binary.BigEndian.AppendUint64([]byte("key\x00"), uint64(len(account))))
	h.Write([]byte(account))
	h.Write([]byte(key))

	return encoder.Subject(h.Sum(nil)[:len(encoder.Subject{})])
}

// RunSubject returns the subject of a fingerprint's run claim.
func RunSubject(fingerprint uint64) encoder.Subject {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte("run\x00"), fingerprint))

	return encoder.Subject(sum[:len(encoder.Subject{})])
}
