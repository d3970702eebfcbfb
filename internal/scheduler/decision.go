package scheduler

import (
	"snipedyke/internal/placer"
	"snipedyke/pkg/encoder"
)

// Decision is a result of Home.Step that the caller must carry out. Only types
// of this package implement it.
type Decision interface{ decision() }

// Grant is a message to the node To that grants a place to one of its asks.
type Grant struct {
	To    string
	Grant encoder.Grant
}

// Refuse is a message to the node To that refuses one of its asks.
type Refuse struct {
	To     string
	Refuse encoder.Refuse
}

// Probe is a request to check whether a failed endpoint answers. The caller passes
// the result to Home.ApplyProbe.
type Probe struct{ Endpoint string }

// Mark is a mark to flood to all nodes, including this one.
type Mark struct{ Mark encoder.Mark }

// Change is a change of an endpoint's state, for logs and counters.
type Change struct {
	Endpoint string
	From     placer.State
	To       placer.State
	Reason   placer.Reason
}

func (Grant) decision()  {}
func (Refuse) decision() {}
func (Probe) decision()  {}
func (Mark) decision()   {}
func (Change) decision() {}

// Reason is the stable code of a refusal. The values equal those of the reducer's
// reasons.
type Reason string

// Reasons for refusing an ask.
const (
	ReasonOverload    Reason = "overload"
	ReasonDeadline    Reason = "deadline"
	ReasonNoEndpoint  Reason = "no_endpoint"
	ReasonBlocked     Reason = "request_blocked"
	ReasonRetryBudget Reason = "retry_budget"
)
