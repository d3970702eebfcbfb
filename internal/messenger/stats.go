package messenger

import "time"

// Stats are counters since the start of the messenger, and the state of its
// links.
type Stats struct {
	// Sent and Received count messages.
	Sent, Received           uint64
	SentBytes, ReceivedBytes uint64
	// Dropped is the number of messages dropped because a queue was full,
	// Unlinked because there was no link, and Unsendable because they were too
	// large or could not be encoded.
	Dropped, Unlinked, Unsendable uint64
	// Refused is the number of failed handshakes and dials, and Ended that of
	// links that have ended, by kind.
	Refused, Ended map[Kind]uint64
	// Peers describes the links, sorted by the peers' names.
	Peers []PeerStats
}

// PeerStats is the state of a link.
type PeerStats struct {
	Name        string
	Incarnation uint64
	Address     string
	Since       time.Time
	// Queued is the size of the queue in bytes.
	Queued  int
	Dropped uint64
}
