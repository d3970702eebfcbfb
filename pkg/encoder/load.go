package encoder

//msgp:tuple Load Sum Item Report Speaker Digest Hello Change Update

//go:generate go tool msgp -file load.go -o load_gen.go -tests=false

// Load is the work that nodes have at one endpoint.
type Load struct {
	// Endpoint is a hash of the endpoint's identifier.
	Endpoint uint32 `msg:"e"`
	// Running is the number of requests, and Unread the prompt tokens of those
	// without a first token.
	Running uint16 `msg:"r"`
	Unread  uint32 `msg:"u"`
}

// Sum is the load of the nodes of a data centre.
type Sum struct {
	Centre string `msg:"c"`
	// Nodes is the number of nodes.
	Nodes uint16 `msg:"n"`
	// Age is how old the youngest part is, in milliseconds.
	Age uint16 `msg:"a"`
	// Long and Short are the numbers of running requests with long prompts and
	// of others at model engines.
	Long  uint32 `msg:"l"`
	Short uint32 `msg:"s"`
	Loads []Load `msg:"o"`
}

// Hello asks a node for the nodes that it knows. It is the first message to a
// node and repeated now and then.
type Hello struct {
	Centre string `msg:"c"`
}

// Report tells the speaker of a data centre what a node does.
type Report struct {
	Sum Sum `msg:"s"`
	// Sent is the sender's clock in microseconds, and Revision that of its
	// shared view.
	Sent     uint64 `msg:"t"`
	Revision uint64 `msg:"r"`
}

// Item is an item of the shared view as it was published.
type Item struct {
	Key      string `msg:"k"`
	Revision uint64 `msg:"r"`
	Data     []byte `msg:"d"`
	// Gone tells that the item has ended.
	Gone bool `msg:"g"`
}

// Speaker names the node that speaks for a data centre.
type Speaker struct {
	Centre string `msg:"c"`
	// Address is an IPv4 address in network order.
	Address uint32 `msg:"a"`
	// Deputy is the node that speaks after the speaker's end, or zero.
	Deputy uint32 `msg:"d"`
}

// Digest tells what a node knows of others.
type Digest struct {
	// Centre is the sender's data centre, Speaker the address of its speaker
	// and Deputy that of the node that speaks after the speaker's end, or zero.
	Centre  string `msg:"c"`
	Speaker uint32 `msg:"p"`
	Deputy  uint32 `msg:"d"`
	// Members are the addresses of the nodes of the receiver's data centre.
	Members []uint32 `msg:"m"`
	// Others are the speakers of other data centres.
	Others []Speaker `msg:"s"`
	// Sums holds the load by data centre without the receiver's own load.
	Sums []Sum `msg:"o"`
	// Parts is the number of digests that tell of all endpoints; this one tells
	// of those whose number is Part modulo Parts. At most 1 means all.
	Part  uint32 `msg:"q"`
	Parts uint32 `msg:"n"`
	// Echo is Sent of the receiver's last report, which came Held microseconds
	// ago. Both are zero if there was none.
	Echo uint64 `msg:"e"`
	Held uint64 `msg:"h"`
	// Revision is that of the sender's shared view, which was complete Age
	// microseconds ago. Items are its changes after the receiver's revision,
	// unless Gap tells that they are not known or too large.
	Revision uint64 `msg:"r"`
	Age      uint64 `msg:"a"`
	Items    []Item `msg:"i"`
	Gap      bool   `msg:"g"`
}

// Change tells how a sum has changed.
type Change struct {
	// Centre is the data centre whose sum it is, or empty for the sum of all
	// nodes but the receiver.
	Centre string `msg:"c"`
	Long   int32  `msg:"l"`
	Short  int32  `msg:"s"`
	Shifts Shifts `msg:"o"`
}

// Update tells what has changed since the sender's last message. What is lost
// is made good by the next reports and digests.
type Update struct {
	Changes []Change `msg:"c"`
}
