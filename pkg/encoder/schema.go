// Package encoder defines the messages that nodes exchange and their msgpack
// encoding, which is generated from this schema.
package encoder

// All messages are encoded as arrays, because field names would make up two
// thirds of a small message. A test compares this list with the types below.
//
//msgp:tuple Heartbeat EndpointObservation PoolLoad Permit Ask Grant Refuse Withdraw Done Progress Claim ClaimReply Fence Record Answer Header Release Finish Query QueryReply Pull Push Roster Transfer Gap Mark Spend Budget Order Fetch Documents Document Forward ForwardReply

//go:generate go tool msgp -file schema.go -o schema_gen.go -tests=false

//msgp:tuple Heartbeat

// Heartbeat shows a peer that the sender is alive and which versions it has in
// force.
type Heartbeat struct {
	// Seq increases by one with each heartbeat to the same peer.
	Seq uint64 `msg:"seq"`
	// Echo is the highest Seq received from the peer's current incarnation, or
	// zero.
	Echo        uint64 `msg:"echo"`
	Incarnation uint64 `msg:"inc"`
	Leaving     bool   `msg:"leaving"`
	Catalogue   uint64 `msg:"catalogue"`
	Epoch       uint64 `msg:"epoch"`
	Hosts       uint64 `msg:"hosts"`
	// Contact is the time in microseconds since the sender's last contact with
	// the configuration service, or negative if there was none.
	Contact int64 `msg:"contact"`
	// Period is the time in microseconds until the sender's next heartbeat.
	Period int64 `msg:"period"`
	// LeasedPools lists the pools for which the sender leases its share to the
	// peer.
	LeasedPools []string `msg:"lends"`
	// Running lists the permits of the peer's pools that the sender has in use.
	Running []Permit `msg:"running"`
	// Rebuilt lists the peer's pools for which Running is complete.
	Rebuilt []string `msg:"rebuilt"`
	// Seen lists the last observations by the sender of the endpoints in pools
	// whose home the peer has newly become.
	Seen []EndpointObservation `msg:"seen"`
	// Loads holds summaries of the pools whose home is the sender.
	Loads []PoolLoad `msg:"loads"`
}

// EndpointObservation is a node's last observation of the state of an endpoint.
type EndpointObservation struct {
	Endpoint string `msg:"endpoint"`
	Cold     bool   `msg:"cold"`
	// Age is the time in microseconds since the observation.
	Age int64 `msg:"age"`
}

// PoolLoad is a home's summary of a pool. It is sent with heartbeats, and
// separately when an endpoint stops being warm.
type PoolLoad struct {
	Pool string `msg:"pool"`
	// Full reports whether the home holds leases from more than half of the
	// lenders.
	Full   bool  `msg:"full"`
	Free   int32 `msg:"free"`
	Queued int32 `msg:"queued"`
	// Wait is the estimated queueing time of a new request in microseconds, by
	// tier.
	Wait []int64 `msg:"wait"`
	// Cold lists the endpoints that are not warm. Every node keeps the list so
	// that it can inform the next home.
	Cold []string `msg:"cold"`
	// Ordered lists the endpoints that were ordered to load a model and have
	// not loaded it yet.
	Ordered []string `msg:"ordered"`
}

// Permit is a request slot in use at an endpoint.
type Permit struct {
	ID          uint64 `msg:"id"`
	Pool        string `msg:"pool"`
	Endpoint    string `msg:"endpoint"`
	Class       string `msg:"class"`
	Fingerprint uint64 `msg:"print"`
	Suspect     bool   `msg:"suspect"`
}

// Ask requests a slot from the home of a pool.
type Ask struct {
	// ID is unique within the sender's incarnation.
	ID    uint64 `msg:"id"`
	Pool  string `msg:"pool"`
	Class string `msg:"class"`
	Entry string `msg:"entry"`
	// Model is empty for plain services.
	Model       string `msg:"model"`
	Adapter     string `msg:"adapter"`
	Fingerprint uint64 `msg:"print"`
	// Prefix is a hash of the first part of the prompt.
	Prefix uint64 `msg:"prefix"`
	// Deadline is the time left in microseconds, or zero if there is none.
	Deadline int64 `msg:"deadline"`
	// Waited is the time in microseconds that the request has been waiting.
	Waited int64 `msg:"waited"`
	// Attempt counts from 1.
	Attempt uint32 `msg:"attempt"`
	// Only restricts the slot to one endpoint if it is not empty.
	Only    string `msg:"only"`
	Avoid   string `msg:"avoid"`
	Suspect bool   `msg:"suspect"`
	// Resume reports whether the request is an interrupted stream whose caller
	// has already received output. Only an endpoint that can resume streams can
	// continue it.
	Resume bool `msg:"resume"`
	// Once reports whether the request is not idempotent.
	Once bool `msg:"once"`
	// Tokens is the maximum length of the response in tokens, or zero if there
	// is none.
	Tokens uint32 `msg:"tokens"`
}

// Grant assigns a slot to an ask.
type Grant struct {
	Ask      uint64 `msg:"ask"`
	Pool     string `msg:"pool"`
	Permit   uint64 `msg:"permit"`
	Endpoint string `msg:"endpoint"`
	// HeartbeatSeq is the sequence number of the latest heartbeat that the home
	// had received from the receiver, which derives the grant's age from it.
	HeartbeatSeq uint64 `msg:"beat"`
	Cold         bool   `msg:"cold"`
}

// Refuse rejects an ask.
type Refuse struct {
	Ask    uint64 `msg:"ask"`
	Pool   string `msg:"pool"`
	Reason string `msg:"reason"`
	// Retry is the time in microseconds after which the caller may retry.
	Retry int64 `msg:"retry"`
}

// Withdraw cancels an ask.
type Withdraw struct {
	Ask  uint64 `msg:"ask"`
	Pool string `msg:"pool"`
}

// Done returns a permit.
type Done struct {
	Permit   uint64 `msg:"permit"`
	Pool     string `msg:"pool"`
	Endpoint string `msg:"endpoint"`
	// Outcome is one of the Outcome constants.
	Outcome uint8  `msg:"outcome"`
	Tokens  uint32 `msg:"tokens"`
	// First, Gap and Run are in microseconds: from dispatch to the first
	// token, the mean between tokens, and from dispatch to the end.
	First int64 `msg:"first"`
	Gap   int64 `msg:"gap"`
	Run   int64 `msg:"run"`
}

// The outcomes of a dispatch.
const (
	// OutcomeUnused is a permit that was returned without being used.
	OutcomeUnused uint8 = iota
	OutcomeOK
	// OutcomeRefused is a dispatch that the endpoint did not accept: the dial
	// failed, or the endpoint responded that it is overloaded or loading.
	OutcomeRefused
	// OutcomeLost is a dispatch whose connection broke after the request was
	// written.
	OutcomeLost
	// OutcomeError is a response that reports a failure of the endpoint.
	OutcomeError
	// OutcomeCancelled is a dispatch that the node cancelled.
	OutcomeCancelled
	OutcomeTimeout
)

// Progress reports the progress of a running request to the home.
type Progress struct {
	Permit uint64 `msg:"permit"`
	Pool   string `msg:"pool"`
	Tokens uint32 `msg:"tokens"`
	// First is the time to the first token in microseconds.
	First int64 `msg:"first"`
}

// Subject identifies what a claim is for: an idempotency key or a request
// fingerprint.
type Subject [16]byte

// The kinds of claims.
const (
	// ClaimKey is a claim of an idempotency key.
	ClaimKey uint8 = iota
	// ClaimRun is a claim of a fingerprint for as long as its request runs.
	ClaimRun
)

// Claim asks a witness of a subject to grant a claim. The witnesses are the nodes
// that store the records of the subject and vote on claims.
type Claim struct {
	ID      uint64  `msg:"id"`
	Kind    uint8   `msg:"kind"`
	Subject Subject `msg:"subject"`
	// Hosts is the sender's host-list version.
	Hosts       uint64 `msg:"hosts"`
	Incarnation uint64 `msg:"inc"`
}

// The results of a claim.
const (
	ClaimGranted uint8 = iota
	// ClaimHeld means that another coordinator holds the subject.
	ClaimHeld
	// ClaimStale means that the host-list versions differ.
	ClaimStale
	// ClaimUncovered means that the witness may lack records of the key and
	// therefore cannot vote.
	ClaimUncovered
	// ClaimFull means that the witness cannot store another record.
	ClaimFull
	// ClaimStored is not the result of a claim. It acknowledges a Finish or a
	// Push that has an ID.
	ClaimStored
)

// ClaimReply is the reply to a Claim.
type ClaimReply struct {
	ID     uint64 `msg:"id"`
	Result uint8  `msg:"result"`
	Hosts  uint64 `msg:"hosts"`
	// Incarnation is the incarnation of the witness.
	Incarnation uint64 `msg:"inc"`
	// Fences lists the other witnesses whose pulls the sender has answered. A
	// grant from an older incarnation of such a witness does not count towards
	// a quorum with this one.
	Fences []Fence `msg:"fences"`
	// Record is the record that conflicts with the claim if the result is
	// ClaimHeld.
	Record *Record `msg:"record"`
}

// Fence is the newest incarnation of a node whose pull was answered.
type Fence struct {
	Node        string `msg:"node"`
	Incarnation uint64 `msg:"inc"`
}

// The states of a record.
const (
	RecordClaimed uint8 = iota
	RecordDone
	// RecordAbandoned means that the coordinator released the key before it
	// dispatched the request.
	RecordAbandoned
	// RecordUnknown means that the node has no record.
	RecordUnknown
	// RecordContested means that two coordinators were found to have claimed
	// the key, so that neither can release it.
	RecordContested
)

// Record is the known state of an idempotency key.
type Record struct {
	Subject Subject `msg:"subject"`
	State   uint8   `msg:"state"`
	// Node and Incarnation identify the coordinator.
	Node        string `msg:"node"`
	Incarnation uint64 `msg:"inc"`
	// Claim is the ID of the coordinator's claim. It increases with each claim
	// of the same incarnation.
	Claim uint64 `msg:"claim"`
	// Age is the time in microseconds since the record was created.
	Age    int64   `msg:"age"`
	Answer *Answer `msg:"answer"`
}

// Answer is a stored response.
type Answer struct {
	Status  int      `msg:"status"`
	Headers []Header `msg:"headers"`
	Body    []byte   `msg:"body"`
	// Cut reports whether the body was too large to be stored.
	Cut bool `msg:"cut"`
}

// Header is an HTTP header field.
type Header struct {
	Name  string `msg:"name"`
	Value string `msg:"value"`
}

// Release releases the claims of the sender on a subject that have an ID of at
// most Claim. The sender never dispatches a request under these claims.
type Release struct {
	Kind        uint8   `msg:"kind"`
	Subject     Subject `msg:"subject"`
	Incarnation uint64  `msg:"inc"`
	Claim       uint64  `msg:"claim"`
}

// Finish sends the outcome of a key to a witness.
type Finish struct {
	// ID is returned in a ClaimReply with ClaimStored.
	ID     uint64 `msg:"id"`
	Record Record `msg:"record"`
}

// Query asks a coordinator for the state of a key. The coordinator replies when
// the request has ended.
type Query struct {
	ID          uint64  `msg:"id"`
	Subject     Subject `msg:"subject"`
	Incarnation uint64  `msg:"inc"`
}

// QueryReply is the reply to a Query.
type QueryReply struct {
	ID     uint64 `msg:"id"`
	Record Record `msg:"record"`
}

// Pull requests the records of which the sender is a witness.
type Pull struct {
	// ID increases with each pull of an incarnation.
	ID          uint64 `msg:"id"`
	Hosts       uint64 `msg:"hosts"`
	Incarnation uint64 `msg:"inc"`
	// Since is the host-list version for which the sender has all of its
	// records, or zero.
	Since uint64 `msg:"since"`
}

// Push carries a part of the records in reply to a pull, announces that its
// sender has become ready, or transfers records when its sender leaves.
type Push struct {
	// ID is returned in a ClaimReply with ClaimStored if it is not zero.
	ID uint64 `msg:"id"`
	// Pull is the ID of the pull that this message replies to, or zero.
	Pull        uint64 `msg:"pull"`
	Hosts       uint64 `msg:"hosts"`
	Incarnation uint64 `msg:"inc"`
	Epoch       uint64 `msg:"epoch"`
	// Covering reports whether the sender has the records of all keys of which
	// it is a witness under this list, other than those in Gaps.
	Covering bool `msg:"covering"`
	// Member is the first host-list version for which the sender's incarnation
	// had the records of all its keys, or zero.
	Member uint64 `msg:"member"`
	// Past is the newest earlier incarnation of the receiver whose pull the
	// sender has answered, or zero.
	Past uint64 `msg:"past"`
	// Closed is a host-list version such that claims under older lists need not
	// be considered, or zero if none is known.
	Closed uint64 `msg:"closed"`
	// Former holds the host lists from version Closed up to but not including
	// version Hosts that may have been used for claims, oldest first.
	Former []Roster `msg:"former"`
	Gaps   []Gap    `msg:"gaps"`
	// Transferred lists the nodes that transferred all of their records to the
	// sender when they left.
	Transferred []Transfer `msg:"handed"`
	Records     []Record   `msg:"records"`
	// Part is the index of this part, counted from zero. Last reports whether
	// it is the last part.
	Part uint32 `msg:"part"`
	Last bool   `msg:"last"`
}

// Roster lists the hosts of a host list that are eligible as homes and witnesses:
// those that are not leaving, or all hosts if all are leaving.
type Roster struct {
	Hosts uint64   `msg:"hosts"`
	Names []string `msg:"names"`
}

// Transfer states that an incarnation of a node has left and transferred its
// records under a host-list version.
type Transfer struct {
	Node        string `msg:"node"`
	Incarnation uint64 `msg:"inc"`
	Hosts       uint64 `msg:"hosts"`
	// Next is the first later incarnation of the node whose pull the sender has
	// answered, or zero.
	Next uint64 `msg:"next"`
}

// Gap describes keys whose records may be lost: those for which too many of the
// witnesses under the roster are among the missing hosts.
type Gap struct {
	Roster  Roster   `msg:"roster"`
	Missing []string `msg:"missing"`
	// Age is the time in microseconds since the records were lost.
	Age int64 `msg:"age"`
}

// Mark sets the state of a fingerprint to suspect, blocked or cleared.
type Mark struct {
	Fingerprint uint64 `msg:"print"`
	Service     string `msg:"service"`
	// State is one of the Mark constants. A higher state replaces a lower one.
	State uint8 `msg:"state"`
	// Age is the time in microseconds since the mark was created.
	Age int64 `msg:"age"`
}

// The states of a mark.
const (
	MarkSuspect uint8 = iota + 1
	MarkBlocked
	MarkCleared
)

// Spend requests a budget from the quota node of an entry.
type Spend struct {
	ID    uint64 `msg:"id"`
	Entry string `msg:"entry"`
	// Want is the number of requests to admit. Running is the number in
	// progress at the sender.
	Want    uint32 `msg:"want"`
	Running uint32 `msg:"running"`
	// Spent is the number of requests that the sender has admitted without a
	// budget since its last Spend that received a reply.
	Spent uint32 `msg:"spent"`
}

// Budget is the reply to a Spend.
type Budget struct {
	ID      uint64 `msg:"id"`
	Entry   string `msg:"entry"`
	Granted uint32 `msg:"granted"`
	// Concurrent is the sender's share of the limit on requests in progress.
	Concurrent uint32 `msg:"concurrent"`
	// Retry is the time in microseconds after which more requests can be
	// granted.
	Retry int64 `msg:"retry"`
}

// Order takes a data centre or an endpoint out of service without a change to
// the catalogue.
type Order struct {
	ID string `msg:"id"`
	// DataCentre or Endpoint names the target; the other is empty.
	DataCentre string `msg:"centre"`
	Endpoint   string `msg:"endpoint"`
	// Left is the remaining time in microseconds.
	Left int64 `msg:"left"`
	// Cancelled reports whether the order was cancelled. A cancelled order is
	// kept until Left has elapsed.
	Cancelled bool `msg:"cancelled"`
}

// Fetch requests from a peer the catalogue documents and the host list that are
// newer than the sender's.
type Fetch struct {
	// Catalogue and Hosts are the versions that the sender has in force.
	Catalogue uint64 `msg:"catalogue"`
	Hosts     uint64 `msg:"hosts"`
	// Have lists the hashes of the documents that the sender has.
	Have [][]byte `msg:"have"`
}

// Documents is the reply to a Fetch.
type Documents struct {
	Manifest []byte `msg:"manifest"`
	// Parts holds the documents that the receiver lacks.
	Parts []Document `msg:"parts"`
	// Hosts is the host-list document, or empty.
	Hosts []byte `msg:"hosts"`
}

// Document is a published document.
type Document struct {
	Name string `msg:"name"`
	Body []byte `msg:"body"`
}

// Forward forwards a request with an issued idempotency key to the node that
// issued the key.
type Forward struct {
	ID      uint64   `msg:"id"`
	Entry   string   `msg:"entry"`
	Service string   `msg:"service"`
	Method  string   `msg:"method"`
	Path    string   `msg:"path"`
	Key     string   `msg:"key"`
	Headers []Header `msg:"headers"`
	Body    []byte   `msg:"body"`
	// Deadline is the time left in microseconds, or zero if there is none.
	Deadline int64 `msg:"deadline"`
}

// ForwardReply is the reply to a Forward.
type ForwardReply struct {
	ID     uint64 `msg:"id"`
	Answer Answer `msg:"answer"`
	// Run is RunUnknown, NotRun, Ran or MayHaveRun. Code is a refusal reason,
	// or empty.
	Run  uint8  `msg:"run"`
	Code string `msg:"code"`
}

// What the sender of a reply knows about whether the request ran.
const (
	RunUnknown uint8 = iota
	NotRun
	Ran
	MayHaveRun
)
