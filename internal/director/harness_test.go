package director

import (
	"fmt"
	"net/netip"
	"time"

	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
	"snipedyke/pkg/encoder"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// node drives a director and records the effects of the last event.
type node struct {
	*Director
	now     time.Time
	effects []Effect
	lastID  uint64
}

func options() Options {
	return Options{
		Name: "n1", DataCentre: "kochi", Regions: map[string]string{"kochi": "kerala", "kollam": "kerala"},
		KeyLease: 3800 * time.Millisecond, FreshView: 3500 * time.Millisecond, AssumedNodes: 6,
		ColdFactor: 1.5, ColdSlack: 5, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 52,
		PublicationInterval: 1200 * time.Millisecond,
	}
}

func table(version uint64) *router.Table {
	t, err := router.New(router.Definition{
		Version: version,
		Services: []router.Service{
			{Name: "desk", ColdPeriod: 3 * time.Second, ColdRate: 10},
			{Name: "model", ColdPeriod: 3 * time.Second, ColdRate: 10, Engine: &router.Engine{Slots: 4}},
		},
		Routes: []router.Route{
			{Name: "pay", Host: "h", Prefix: "/pay/", Kind: router.Unsafe, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond, Attempts: 2, Shares: []router.Share{{Service: "desk", Weight: 1}}},
			{Name: "look", Host: "h", Prefix: "/look/", Kind: router.Safe, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond, Attempts: 2, Shares: []router.Share{{Service: "desk", Weight: 1}}},
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: router.Stream, Timeout: 15 * time.Second, LatencyTarget: 600 * time.Millisecond, MaxPause: 150 * time.Millisecond, Attempts: 1, Shares: []router.Share{{Service: "model", Weight: 1}}},
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: router.Stream, Resumable: true, Timeout: 6 * time.Second, LatencyTarget: 600 * time.Millisecond, MaxPause: 250 * time.Millisecond, Attempts: 2, Priority: 1, Shares: []router.Share{{Service: "model", Weight: 1}}},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: router.Safe, Public: true, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond, Attempts: 1, Shares: []router.Share{{Service: "desk", Weight: 1}}},
		},
		Accounts: []router.Account{{Name: "club"}},
		Keys:     map[string]string{"key": "club"},
	})
	if err != nil {
		panic(err)
	}

	return t
}

func entry(service string, i int) registrar.Entry {
	return registrar.Entry{
		ID: fmt.Sprintf("%s-%d", service, i), Service: service, DataCentre: "kochi",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(len(service)), byte(i)}), 80),
	}
}

// newNode returns a node that is ready, with three endpoints for each service.
func newNode() *node {
	n := &node{Director: New(options()), now: start}
	n.post(TableLoaded{table(1)})
	entries := make([]registrar.Entry, 0, 6)
	for i := range 3 {
		entries = append(entries, entry("desk", i), entry("model", i))
	}
	n.post(EntriesListed{entries})
	n.post(ViewConfirmed{n.now})
	n.post(OthersLoadReplaced{Others: encoder.LoadSum{Nodes: 5}})
	n.now = n.now.Add(discoveryPeriod)
	n.post(ViewConfirmed{n.now})

	return n
}

func (n *node) post(e Event) []Effect {
	n.effects = append([]Effect(nil), n.Reduce(n.now, e)...)

	return n.effects
}

// find returns the first effect of the given type.
func find[T Effect](effects []Effect) (T, bool) {
	for _, e := range effects {
		if t, ok := e.(T); ok {
			return t, true
		}
	}
	var zero T

	return zero, false
}

func (n *node) arrive(id uint64, path string) []Effect {
	return n.post(Arrived{Request{ID: id, Name: fmt.Sprint("r", id), Host: "h", Path: path, Key: "key", Deadline: time.Second}})
}
