package logger

import "github.com/hashicorp/go-hclog"

// Numbers of the log events. The meaning of a released number never changes.
const (
	CatalogueInForce   = 101
	CatalogueRefused   = 102
	HostsInForce       = 103
	HostsRefused       = 104
	ServiceUnreachable = 105
	ServiceReachable   = 106
	EpochRaised        = 107

	NodeJoined    = 201
	NodeLost      = 202
	NodeRestarted = 203
	NodeLeaving   = 204
	ViewStale     = 205
	ViewFresh     = 206
	HomeAcquired  = 207
	HomeMoved     = 208
	PauseDetected = 209
	NodeReady     = 210
	NodeNotReady  = 211

	EndpointState      = 301
	FingerprintSuspect = 302
	FingerprintBlocked = 303
	EngineOrdered      = 306

	RecordsCovering    = 401
	RecordsNotCovering = 402
	RecordsFull        = 403

	LinkUp          = 501
	LinkDown        = 502
	LinkRefused     = 503
	MessagesDropped = 504

	OrderInForce     = 601
	OrderExpired     = 602
	OrderCancelled   = 603
	ShutdownStarted  = 604
	ShutdownComplete = 605
	NodeStarted      = 606
	AdminRefused     = 607
	TraceIncomplete  = 608

	RouteTableInForce  = 701
	ViewLost           = 702
	ViewRegained       = 703
	CentreTakenOut     = 704
	CentreRestored     = 705
	EndpointAdded      = 706
	EndpointDraining   = 707
	EndpointRemoved    = 708
	EndpointSuspended  = 709
	EntryIgnored       = 710
	RequestRetried     = 711
	RequestFailed      = 712
	LinesOmitted       = 713
	ForwarderStarted   = 714
	HistoryUnavailable = 715
	SettingsReloaded   = 716
	RequestAnswered    = 717
	NodeCountChanged   = 718
	MessageRejected    = 719
	MessageSendFailed  = 720
	SettingsRejected   = 721
	ViewRestored       = 722
	EntryOutdated      = 723
	EndpointSilent     = 724
	ShutdownCutOff     = 725
	EndpointLeaving    = 726
	EndpointPaused     = 727
	CentreHeld         = 728
	PauseIgnored       = 729
	AcceptFailed       = 730
	RequestCutOff      = 731
	StreamTakenUp      = 732
	AttemptMisdirected = 740
	EndpointDisplaced  = 741
	MessageCut         = 742
	UnexpectedError    = 743
	EndpointCold       = 744
	FleetSizeChanged   = 745
	EndpointLimited    = 746
	EndpointLimitEnded = 747
	LimitIgnored       = 748
	EndpointFailing    = 749
	EndpointRecovered  = 750
	AttemptCutOff      = 751
	RequestsIsolated   = 752
	IsolationEnded     = 753
	NodeStranded       = 754
	NodeReconnected    = 755
	EndpointBrittle    = 756
	BrittlenessEnded   = 757
	BrittleIgnored     = 758
)

// Definition describes a log event.
type Definition struct {
	Number int
	Level  hclog.Level
	Text   string
	// Fields lists the keys that the event may have.
	Fields []string
}

var catalogue = []Definition{
	{CatalogueInForce, hclog.Info, "catalogue in force", []string{"version", "epoch"}},
	{CatalogueRefused, hclog.Error, "catalogue publication refused", []string{"version", "source", "error"}},
	{HostsInForce, hclog.Info, "host list in force", []string{"version", "hosts"}},
	{HostsRefused, hclog.Error, "host list refused", []string{"version", "source", "error"}},
	{ServiceUnreachable, hclog.Warn, "configuration service does not respond", []string{"age"}},
	{ServiceReachable, hclog.Info, "configuration service responds again", nil},
	{EpochRaised, hclog.Warn, "epoch raised, all keys are covered", []string{"epoch", "former"}},

	{NodeJoined, hclog.Info, "node joined", []string{"node", "incarnation"}},
	{NodeLost, hclog.Warn, "node lost", []string{"node", "incarnation"}},
	{NodeRestarted, hclog.Warn, "node restarted", []string{"node", "incarnation"}},
	{NodeLeaving, hclog.Info, "node is leaving", []string{"node"}},
	{ViewStale, hclog.Error, "view is stale; no new requests are dispatched", nil},
	{ViewFresh, hclog.Info, "view is fresh", nil},
	{HomeAcquired, hclog.Info, "this node became the home of the pool", []string{"pool"}},
	{HomeMoved, hclog.Info, "home of the pool moved to another node", []string{"pool", "home"}},
	{PauseDetected, hclog.Warn, "process was paused", []string{"length"}},
	{NodeReady, hclog.Info, "node is ready", []string{"catalogue", "hosts"}},
	{NodeNotReady, hclog.Warn, "node is not ready", []string{"reason"}},

	{EndpointState, hclog.Info, "endpoint changed state", []string{"endpoint", "pool", "former", "state", "reason"}},
	{FingerprintSuspect, hclog.Warn, "request suspected of crashing an endpoint", []string{"fingerprint", "service"}},
	{FingerprintBlocked, hclog.Error, "request blocked because it crashed an endpoint", []string{"fingerprint", "service"}},
	{EngineOrdered, hclog.Info, "load or unload order sent to engine", []string{"endpoint", "fence", "load", "unload"}},

	{RecordsCovering, hclog.Info, "records cover all keys of this witness", []string{"hosts", "records"}},
	{RecordsNotCovering, hclog.Warn, "records do not cover all keys of this witness", []string{"hosts"}},
	{RecordsFull, hclog.Error, "record table is full, new claims are refused", nil},

	{LinkUp, hclog.Info, "link up", []string{"peer", "incarnation", "address"}},
	{LinkDown, hclog.Info, "link down", []string{"peer", "incarnation", "reason"}},
	{LinkRefused, hclog.Warn, "link refused", []string{"peer", "address", "reason", "error"}},
	{MessagesDropped, hclog.Warn, "messages to a slow peer dropped", []string{"peer", "messages"}},

	{OrderInForce, hclog.Warn, "emergency order in force", []string{"order", "centre", "endpoint", "left"}},
	{OrderExpired, hclog.Warn, "emergency order expired", []string{"order"}},
	{OrderCancelled, hclog.Warn, "emergency order cancelled", []string{"order"}},
	{ShutdownStarted, hclog.Info, "graceful shutdown started", []string{"requests"}},
	{ShutdownComplete, hclog.Info, "graceful shutdown complete", nil},
	{NodeStarted, hclog.Info, "node started", []string{"node", "incarnation", "version", "peers", "callers", "administration"}},
	{AdminRefused, hclog.Warn, "administration call refused", []string{"address", "path", "reason"}},
	{TraceIncomplete, hclog.Debug, "recording has discarded its first events", []string{"bytes"}},

	{RouteTableInForce, hclog.Info, "route table in force", []string{"version", "former", "routes"}},
	{ViewLost, hclog.Warn, "shared view cannot be read", []string{"age", "cause"}},
	{ViewRegained, hclog.Info, "shared view can be read again", []string{"held"}},
	{CentreTakenOut, hclog.Info, "data centre taken out of service", []string{"centre"}},
	{CentreRestored, hclog.Info, "data centre back in service", []string{"centre"}},
	{EndpointAdded, hclog.Info, "endpoint added", []string{"endpoint", "service", "centre", "version", "draining", "cold"}},
	{EndpointDraining, hclog.Info, "endpoint is draining", []string{"endpoint", "service"}},
	{EndpointRemoved, hclog.Info, "endpoint removed", []string{"endpoint", "service"}},
	{EndpointSuspended, hclog.Warn, "endpoint temporarily suspended", []string{"endpoint", "service", "result", "failures", "length"}},
	{EntryIgnored, hclog.Warn, "entry of the shared view ignored", []string{"key", "revision", "error"}},
	{RequestRetried, hclog.Info, "request retried at another endpoint", []string{"request", "route", "endpoint", "version", "node", "result", "cause", "took", "framing", "parts", "relayed"}},
	{RequestFailed, hclog.Warn, "request ended without an answer of an endpoint", []string{"request", "route", "service", "status", "reason", "cause", "waited", "tried", "node", "unreached", "parts", "relayed", "age"}},
	{LinesOmitted, hclog.Warn, "log lines left out", []string{"lines"}},
	{ForwarderStarted, hclog.Info, "forwarder started", []string{"callers", "version"}},
	{HistoryUnavailable, hclog.Info, "history of the shared view is no longer available; reading the whole view", []string{"revision"}},
	{SettingsReloaded, hclog.Info, "settings reloaded", []string{"changed"}},
	{RequestAnswered, hclog.Info, "request answered", []string{"request", "route", "endpoint", "version", "node", "handed", "status", "took", "first", "pause", "events", "framing", "attempts", "late", "engines"}},
	{NodeCountChanged, hclog.Info, "number of known nodes changed", []string{"nodes", "former"}},
	{MessageRejected, hclog.Warn, "message from another node rejected", []string{"from", "error"}},
	{MessageSendFailed, hclog.Warn, "message to another node could not be sent", []string{"to", "error"}},
	{SettingsRejected, hclog.Error, "settings rejected", []string{"error"}},
	{ViewRestored, hclog.Warn, "shared view restored from an older copy", []string{"era", "former", "revision", "formerRevision"}},
	{EntryOutdated, hclog.Info, "entry older than known ignored", []string{"endpoint", "service", "sequence", "known"}},
	{EndpointSilent, hclog.Info, "endpoint silent", []string{"request", "route", "endpoint", "silent", "relayed", "replaced"}},
	{ShutdownCutOff, hclog.Warn, "shutdown cut off connections", []string{"connections", "waited"}},
	{EndpointLeaving, hclog.Info, "endpoint says that it is leaving", []string{"request", "endpoint", "service"}},
	{EndpointPaused, hclog.Info, "endpoint asked for time", []string{"request", "endpoint", "service", "length"}},
	{CentreHeld, hclog.Info, "data centre stays out of service until it is confirmed", []string{"centre"}},
	{PauseIgnored, hclog.Warn, "malformed request for time ignored", []string{"request", "endpoint", "value"}},
	{AcceptFailed, hclog.Warn, "connection could not be accepted", []string{"listener", "error"}},
	{RequestCutOff, hclog.Warn, "request cut off by shutdown", []string{"request", "route", "endpoint", "age", "leaving", "begun"}},
	{StreamTakenUp, hclog.Info, "caller takes a stream up again", []string{"request", "resumes", "route", "service", "version", "source", "serving"}},
	{AttemptMisdirected, hclog.Info, "attempt answered by another endpoint", []string{"request", "route", "endpoint", "address", "answered", "known", "leaving"}},
	{EndpointDisplaced, hclog.Info, "endpoint displaced by another one at its address", []string{"endpoint", "service", "address", "holder"}},
	{MessageCut, hclog.Warn, "message cut off because the memory budget is used up", []string{"content", "bytes", "limit"}},
	{UnexpectedError, hclog.Error, "unexpected error; the process goes on", []string{"where", "error", "stack"}},
	{EndpointCold, hclog.Info, "endpoint is cold", []string{"endpoint", "service", "length", "requests", "window", "nodes"}},
	{FleetSizeChanged, hclog.Info, "number of nodes that share the fleet's limits changed", []string{"nodes", "former"}},
	{EndpointLimited, hclog.Info, "endpoint names a limit of requests", []string{"request", "endpoint", "service", "limit", "nodes"}},
	{EndpointLimitEnded, hclog.Info, "endpoint names no limit any more", []string{"request", "endpoint", "service", "length"}},
	{LimitIgnored, hclog.Warn, "malformed limit of requests ignored", []string{"request", "endpoint", "value"}},
	{EndpointFailing, hclog.Warn, "endpoint fails most requests", []string{"endpoint", "service", "share"}},
	{EndpointRecovered, hclog.Info, "endpoint no longer fails most requests", []string{"endpoint", "service", "share"}},
	{AttemptCutOff, hclog.Info, "attempt cut off by its endpoint", []string{"request", "content", "route", "service", "account", "endpoint", "took", "begun", "cause", "parts"}},
	{RequestsIsolated, hclog.Warn, "requests under which endpoints end are refused", []string{"content", "part", "ends"}},
	{IsolationEnded, hclog.Info, "requests are no longer refused for endpoints that ended under them", []string{"content", "part"}},
	{NodeStranded, hclog.Warn, "node is cut off from all endpoints", []string{"endpoints", "checked", "suspected"}},
	{NodeReconnected, hclog.Info, "node reaches endpoints again", []string{"length", "requests"}},
	{EndpointBrittle, hclog.Info, "endpoint is brittle", []string{"request", "endpoint", "service", "declines", "nodes"}},
	{BrittlenessEnded, hclog.Info, "endpoint is no longer brittle", []string{"request", "endpoint", "service", "length"}},
	{BrittleIgnored, hclog.Warn, "malformed statement that an endpoint is brittle ignored", []string{"request", "endpoint", "value"}},
}

// Catalogue returns the definitions of all events in the order of their
// numbers.
func Catalogue() []Definition { return append([]Definition(nil), catalogue...) }

// Lookup returns the definition of an event and reports whether there is one.
func Lookup(number int) (Definition, bool) {
	d, ok := byNumber[number]

	return d, ok
}

var byNumber = func() map[int]Definition {
	m := make(map[int]Definition, len(catalogue))
	for _, d := range catalogue {
		m[d.Number] = d
	}

	return m
}()
