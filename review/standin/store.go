package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the platform's store, as its read calls return it.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store simulates the platform's store: the calls that read a range and that watch.
type store struct {
	addr string

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	changed chan struct{}
	// refused reports whether a caller is turned away. It may be nil.
	refused func(ip string) bool
	// conns holds the open connections.
	conns map[net.Conn]bool
}

func newStore(ip string) *store {
	ln, err := net.Listen("tcp", ip+":0")
	must(err)
	s := &store{addr: ln.Addr().String(), rev: 1, items: map[string]item{}, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(s.conns, c)
		} else {
			s.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(ln) }()

	return s
}

// put writes the JSON encoding of a value under a key.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	must(err)
	s.write(item{Key: key, Value: base64.StdEncoding.EncodeToString(data)})
}

func (s *store) remove(key string) { s.write(item{Key: key, Tombstone: true}) }

func (s *store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i.Rev, i.Created = s.rev, s.rev
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	if i.Tombstone {
		i.Created = 0
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutWatches closes all connections.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	refused := s.refused != nil && s.refused(ip)
	s.mu.Unlock()
	if refused {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-range":
		s.serveRange(w, q.Get("prefix"))
	case "/kv-" + "watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix string) {
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": items, "truncated": false, "currentRev": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "currentRev": rev})

			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline:
			writeJSON(w, map[string]any{"events": events, "currentRev": rev})

			return
		case <-changed:
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
