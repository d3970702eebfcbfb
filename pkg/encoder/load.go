package encoder

//msgp:tuple Load LoadSum Item Report Speaker Digest Hello LoadChange Update Crash Crashes ViewReport ViewDigest Origin Origins OriginQuery Contact Observations Demands

//go:generate go tool msgp -file load.go -o load_gen.go -tests=false

// Load is the load that a set of nodes places on one endpoint.
type Load struct {
	// Endpoint is a hash of the endpoint's identifier.
	Endpoint uint32 `msg:"e"`
	// Running is the number of requests in progress. PrefillTokens is the number
	// of prompt tokens of those that have not produced a first token.
	Running       uint16 `msg:"r"`
	PrefillTokens uint32 `msg:"u"`
}

// LoadSum is the total load placed by the nodes of a data centre.
type LoadSum struct {
	Centre string `msg:"c"`
	Nodes  uint16 `msg:"n"`
	// Age is the age of the most recent contribution, in milliseconds.
	Age uint16 `msg:"a"`
	// Long and Short are the numbers of requests in progress at model engines
	// with long prompts and with other prompts.
	Long  uint32 `msg:"l"`
	Short uint32 `msg:"s"`
	Loads []Load `msg:"o"`
}

// Hello asks a node for the addresses of the nodes that it knows. It is the first
// message sent to a node and is repeated from time to time.
type Hello struct {
	Centre string `msg:"c"`
}

// Report is the load of one node, sent to the speaker of its data centre.
type Report struct {
	Sum LoadSum `msg:"s"`
	// Sent and Revision are zero. Nodes without ViewReport expect them.
	Sent     uint64 `msg:"t"`
	Revision uint64 `msg:"r"`
}

// ViewReport is the state of one node's shared view, sent to the speaker of its
// data centre.
type ViewReport struct {
	// Sent identifies the report, for its sender only. It is not zero. Era and Revision identify the
	// state of the store that its view holds, and Table is the version of its
	// routing table, which may be from a lost copy.
	Sent     uint64 `msg:"t"`
	Era      uint64 `msg:"e"`
	Revision uint64 `msg:"r"`
	Table    uint64 `msg:"v"`
}

// ViewDigest is the speaker's response to a ViewReport.
type ViewDigest struct {
	// Echo is Sent of the receiver's last ViewReport, and EchoDelay the time in
	// microseconds since that report arrived.
	Echo      uint64 `msg:"t"`
	EchoDelay uint64 `msg:"h"`
	// Era and Revision identify the state of the store that the sender's view
	// holds, and Age is the time in microseconds since that view was last
	// complete. Table is the version of its routing table, which may be from a
	// lost copy. Items holds the changes after the receiver's revision. Gap
	// reports whether these changes are unknown, as of another era or too large
	// to send.
	Era      uint64 `msg:"e"`
	Revision uint64 `msg:"r"`
	Table    uint64 `msg:"v"`
	Age      uint64 `msg:"a"`
	Items    []Item `msg:"i"`
	Gap      bool   `msg:"g"`
}

// Contact tells when the sender could read the store of the shared view.
type Contact struct {
	// Age is the time in milliseconds since the sender's view was last complete, and
	// Steady the length in milliseconds of the period up to then without an outage of
	// the store in which entries can expire.
	Age    uint64 `msg:"a"`
	Steady uint64 `msg:"s"`
}

// Item is a key of the shared view with its value as published.
type Item struct {
	Key      string `msg:"k"`
	Revision uint64 `msg:"r"`
	Data     []byte `msg:"d"`
	// Deleted reports whether the key was deleted.
	Deleted bool `msg:"g"`
}

// Speaker identifies the speaker of a data centre, which is its leader: the node
// that exchanges load sums with the other data centres.
type Speaker struct {
	Centre string `msg:"c"`
	// Address is an IPv4 address, most significant byte first.
	Address uint32 `msg:"a"`
	// Deputy is the address of the node that takes over if the speaker fails, or
	// zero if there is none.
	Deputy uint32 `msg:"d"`
}

// Digest summarizes what the sender knows of the other nodes.
type Digest struct {
	// Centre is the sender's data centre, Speaker the address of its speaker,
	// and Deputy the address of the node that takes over if the speaker fails,
	// or zero if there is none.
	Centre  string `msg:"c"`
	Speaker uint32 `msg:"p"`
	Deputy  uint32 `msg:"d"`
	// Members lists the addresses of the nodes in the receiver's data centre.
	Members []uint32 `msg:"m"`
	// Others lists the speakers of the other data centres.
	Others []Speaker `msg:"s"`
	// Sums holds the load per data centre, excluding the receiver's own load.
	Sums []LoadSum `msg:"o"`
	// Parts is the number of digests that together cover all endpoints. This
	// digest covers the endpoints whose number is Part modulo Parts. If Parts
	// is 0 or 1, it covers all of them.
	Part  uint32 `msg:"q"`
	Parts uint32 `msg:"n"`
	// The fields that follow are zero. Nodes without ViewDigest expect them.
	Echo      uint64 `msg:"e"`
	EchoDelay uint64 `msg:"h"`
	Revision  uint64 `msg:"r"`
	Age       uint64 `msg:"a"`
	Items     []Item `msg:"i"`
	Gap       bool   `msg:"g"`
}

// LoadChange is the difference between two states of a LoadSum.
type LoadChange struct {
	// Centre is the data centre of the sum, or empty for the sum over all nodes
	// except the receiver.
	Centre string `msg:"c"`
	Long   int32  `msg:"l"`
	Short  int32  `msg:"s"`
	Shifts Shifts `msg:"o"`
}

// Update holds the changes since the sender's last message. A lost update is
// corrected by the following reports and digests.
type Update struct {
	Changes []LoadChange `msg:"c"`
}

// Crash is an observation about a subject, an endpoint or both.
type Crash struct {
	// Subject is the fingerprint of a request if Request is true, and the hash of a
	// prompt part otherwise. Endpoint is the number of an endpoint's incarnation. With
	// both, the endpoint has cut off an attempt with the subject. Without a subject, the
	// endpoint has ended. Without an endpoint, an answer has shown that the subject is
	// sound.
	Subject  uint64 `msg:"p"`
	Request  bool   `msg:"r"`
	Endpoint uint32 `msg:"e"`
	// Isolated reports whether the sender refuses requests with the subject.
	Isolated bool `msg:"i"`
	// Age is the time since the observation in milliseconds. Took is the time from
	// sending the attempt to the observation in milliseconds, or zero where there is no
	// attempt.
	Age  uint32 `msg:"a"`
	Took uint32 `msg:"t"`
}

// Crashes holds what the sender knows about requests and prompt parts that crash
// endpoints.
type Crashes struct {
	List []Crash `msg:"l"`
}

// Origin is the software version at which a stream began.
type Origin struct {
	// Key identifies the stream.
	Key     uint64 `msg:"k"`
	Version string `msg:"v"`
	// Sole reports whether Version is that of all endpoints that can have begun
	// the stream. Otherwise it was recorded when the stream began.
	Sole bool `msg:"s"`
	// Several reports whether endpoints of several versions can have begun the
	// stream, so that Version is unknown.
	Several bool `msg:"n"`
	// Age is the time since the origin was recorded in milliseconds, or the age of
	// the sender's view if it was not.
	Age uint32 `msg:"a"`
}

// Origins holds origins that the sender announces or was asked for.
type Origins struct {
	// List has at most MaxOrigins elements.
	List []Origin `msg:"l,limit=2048"`
}

// OriginQuery asks for the origin of a stream. A node that does not know it does
// not reply.
type OriginQuery struct {
	Key     uint64 `msg:"k"`
	Service string `msg:"n"`
}

// Observations tells other nodes what has been observed of endpoints. It carries
// changes, so that a lost message is not corrected by a later one.
type Observations struct {
	// Centre is the sender's data centre, or empty for the sum over all nodes except
	// the receiver.
	Centre string          `msg:"c"`
	List   ObservationList `msg:"o"`
}

// NodeQuery asks for the nodes of the receiver's data centre.
type NodeQuery struct{}

// NodeList is the reply to a NodeQuery.
type NodeList struct {
	// Centre is the sender's data centre, and Addresses holds at most MaxNodes of its nodes
	// that are known to run, including the sender.
	Centre    string   `msg:"c"`
	Addresses []uint32 `msg:"l,limit=256"`
}

// MaxNodes is the maximum number of addresses in a NodeList.
const MaxNodes = 256

// Demands tells other nodes what client accounts ask for. It carries rates, so that
// it replaces earlier messages.
type Demands struct {
	// Centre is the data centre whose nodes the sums cover, or empty for all nodes of
	// the fleet.
	Centre string     `msg:"c"`
	List   DemandList `msg:"o"`
}
