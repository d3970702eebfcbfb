package detector

// Change is a change of the membership as this node sees it. Only types of
// this package implement it.
type Change interface{ change() }

// Joined means that a node was heard from for the first time, or again after it
// had been lost, or that it has become published.
type Joined struct {
	Node        string
	Incarnation uint64
}

// Restarted means that a node was heard from with a new incarnation.
type Restarted struct {
	Node string
	// Former is the previous incarnation, which no longer runs, and Incarnation
	// the new one.
	Former      uint64
	Incarnation uint64
}

// Lost means that no heartbeat of a node has arrived for too long. The node
// may still be running.
type Lost struct {
	Node        string
	Incarnation uint64
}

// Leaving means that a node has begun its graceful shutdown.
type Leaving struct {
	Node        string
	Incarnation uint64
}

func (Joined) change()    {}
func (Restarted) change() {}
func (Lost) change()      {}
func (Leaving) change()   {}
