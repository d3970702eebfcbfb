package recorder

import (
	"fmt"
	"time"

	"snipedyke/internal/reducer"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// The kinds of lines that follow the header. The values are part of the file
// format.
const (
	kindTick              = "tick"
	kindArrived           = "arrived"
	kindCallerGone        = "gone"
	kindStarted           = "started"
	kindProgressed        = "advanced"
	kindEnded             = "ended"
	kindReceived          = "received"
	kindConnected         = "connected"
	kindDisconnected      = "disconnected"
	kindRefused           = "refused"
	kindDocument          = "document"
	kindCatalogue         = "catalogue"
	kindHosts             = "hosts"
	kindContacted         = "contacted"
	kindReported          = "reported"
	kindProbed            = "probed"
	kindOrdered           = "ordered"
	kindShutdownRequested = "leave"
	kindOutcome           = "outcome"
)

// line is a line of a trace file after the header. Durations are in
// nanoseconds; messages are encoded as nodes send them to each other.
type line struct {
	// At is the time since the start of the recording.
	At       time.Duration `json:"at"`
	Kind     string        `json:"kind"`
	ID       uint64        `json:"id,omitempty"`
	Permit   uint64        `json:"permit,omitempty"`
	Peer     string        `json:"peer,omitempty"`
	Endpoint string        `json:"endpoint,omitempty"`
	// Message holds the message of a received or ordered event.
	Message []byte        `json:"message,omitempty"`
	Request *request      `json:"request,omitempty"`
	First   time.Duration `json:"first,omitempty"`
	Gap     time.Duration `json:"gap,omitempty"`
	Run     time.Duration `json:"run,omitempty"`
	Tokens  uint32        `json:"tokens,omitempty"`
	Result  uint8         `json:"result,omitempty"`
	Written bool          `json:"written,omitempty"`
	Relayed bool          `json:"relayed,omitempty"`
	// Answer is the encoded answer, or nil if there is none. The encoding of
	// an answer is never empty, not even that of an empty answer.
	Answer  []byte   `json:"answer,omitempty"`
	Running int      `json:"running,omitempty"`
	Queued  int      `json:"queued,omitempty"`
	Loading bool     `json:"loading,omitempty"`
	Loaded  []string `json:"loaded,omitempty"`
	OK      bool     `json:"ok,omitempty"`
	// Name and Body are the name and content of a published document. The
	// documents of a catalogue precede its catalogue line, whose body is the
	// manifest.
	Name    string   `json:"name,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// request has the same fields as reducer.Request, so that values can be
// converted between the two types.
type request struct {
	ID          uint64        `json:"id"`
	Entry       string        `json:"entry,omitempty"`
	Service     string        `json:"service,omitempty"`
	Class       string        `json:"class,omitempty"`
	Model       string        `json:"model,omitempty"`
	Adapter     string        `json:"adapter,omitempty"`
	Fingerprint uint64        `json:"print,omitempty"`
	Prefix      uint64        `json:"prefix,omitempty"`
	Key         string        `json:"key,omitempty"`
	Once        bool          `json:"once,omitempty"`
	Stream      bool          `json:"stream,omitempty"`
	Deadline    time.Duration `json:"deadline,omitempty"`
	Tokens      uint32        `json:"tokens,omitempty"`
	Forwarded   bool          `json:"forwarded,omitempty"`
}

// toLine converts an event to a line. Writer.Event handles the events that
// carry published documents, CatalogueLoaded and HostsLoaded.
func toLine(at time.Duration, e reducer.Event) (line, error) {
	l := line{At: at}
	var err error
	switch e := e.(type) {
	case reducer.Tick:
		l.Kind = kindTick
	case reducer.Arrived:
		r := request(e.Request)
		l.Kind, l.Request = kindArrived, &r
	case reducer.CallerGone:
		l.Kind, l.ID = kindCallerGone, e.ID
	case reducer.Started:
		l.Kind, l.ID, l.Permit, l.First = kindStarted, e.ID, e.Permit, e.First
	case reducer.Progressed:
		l.Kind, l.ID, l.Permit, l.Tokens = kindProgressed, e.ID, e.Permit, e.Tokens
	case reducer.Ended:
		l.Kind, l.ID, l.Permit, l.Result = kindEnded, e.ID, e.Permit, e.Outcome
		l.Written, l.Relayed, l.Tokens = e.Written, e.Relayed, e.Tokens
		l.First, l.Gap, l.Run = e.First, e.Gap, e.Run
		if e.Answer != nil {
			l.Answer, err = e.Answer.MarshalMsg(nil)
		}
	case reducer.Received:
		l.Kind, l.Peer = kindReceived, e.From
		l.Message, err = encoder.Append(nil, e.Message)
	case reducer.Connected:
		l.Kind, l.Peer = kindConnected, e.Peer
	case reducer.Disconnected:
		l.Kind, l.Peer = kindDisconnected, e.Peer
	case reducer.ConnectionRefused:
		l.Kind, l.Peer = kindRefused, e.Peer
	case reducer.ServiceContacted:
		l.Kind = kindContacted
	case reducer.LoadReported:
		l.Kind, l.Endpoint, l.Loaded = kindReported, e.Endpoint, e.Loaded
		l.Running, l.Queued, l.Loading = e.Running, e.Queued, e.Loading
	case reducer.Probed:
		l.Kind, l.Endpoint, l.OK = kindProbed, e.Endpoint, e.OK
	case reducer.OrderGiven:
		l.Kind = kindOrdered
		l.Message, err = encoder.Append(nil, &e.Order)
	case reducer.ShutdownRequested:
		l.Kind = kindShutdownRequested
	default:
		err = fmt.Errorf("event type %T cannot be written to a trace", e)
	}

	return l, err
}

// fromLine converts a line to an event. For a document line it adds the
// document to documents and returns no event; a catalogue line consumes the
// documents that were added before it.
func fromLine(l *line, documents map[string][]byte) (reducer.Event, error) {
	switch l.Kind {
	case kindTick:
		return reducer.Tick{}, nil
	case kindArrived:
		if l.Request == nil {
			return nil, fmt.Errorf("field request: missing")
		}

		return reducer.Arrived{Request: reducer.Request(*l.Request)}, nil
	case kindCallerGone:
		return reducer.CallerGone{ID: l.ID}, nil
	case kindStarted:
		return reducer.Started{ID: l.ID, Permit: l.Permit, First: l.First}, nil
	case kindProgressed:
		return reducer.Progressed{ID: l.ID, Permit: l.Permit, Tokens: l.Tokens}, nil
	case kindEnded:
		return endedFromLine(l)
	case kindReceived:
		m, err := encoder.Decode(l.Message)

		return reducer.Received{From: l.Peer, Message: m}, err
	case kindConnected:
		return reducer.Connected{Peer: l.Peer}, nil
	case kindDisconnected:
		return reducer.Disconnected{Peer: l.Peer}, nil
	case kindRefused:
		return reducer.ConnectionRefused{Peer: l.Peer}, nil
	case kindDocument:
		documents[l.Name] = l.Body

		return nil, nil
	case kindCatalogue:
		c, err := cataloguer.Parse(l.Body, documents)
		clear(documents)

		return reducer.CatalogueLoaded{Catalogue: c}, err
	case kindHosts:
		h, err := cataloguer.ParseHosts(l.Body)

		return reducer.HostsLoaded{Hosts: h}, err
	case kindContacted:
		return reducer.ServiceContacted{}, nil
	case kindReported:
		return reducer.LoadReported{
			Endpoint: l.Endpoint, Running: l.Running, Queued: l.Queued, Loading: l.Loading, Loaded: l.Loaded,
		}, nil
	case kindProbed:
		return reducer.Probed{Endpoint: l.Endpoint, OK: l.OK}, nil
	case kindOrdered:
		m, err := encoder.Decode(l.Message)
		if err != nil {
			return nil, err
		}
		order, ok := m.(*encoder.Order)
		if !ok {
			return nil, fmt.Errorf("field message: not an order")
		}

		return reducer.OrderGiven{Order: *order}, nil
	case kindShutdownRequested:
		return reducer.ShutdownRequested{}, nil
	default:
		return nil, fmt.Errorf("unknown kind %q", l.Kind)
	}
}

// endedFromLine converts a line of kind ended and decodes its answer.
func endedFromLine(l *line) (reducer.Event, error) {
	e := reducer.Ended{
		ID: l.ID, Permit: l.Permit, Outcome: l.Result, Written: l.Written, Relayed: l.Relayed,
		Tokens: l.Tokens, First: l.First, Gap: l.Gap, Run: l.Run,
	}
	if l.Answer == nil {
		return e, nil
	}
	e.Answer = new(encoder.Answer)
	rest, err := e.Answer.UnmarshalMsg(l.Answer)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("field answer: %d trailing bytes", len(rest))
	}

	return e, err
}
