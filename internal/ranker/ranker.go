// Package ranker orders hosts by rendezvous hashing: all nodes with the same host
// list choose the same hosts for a key, and adding or removing a host moves only
// the keys of that host.
package ranker

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"snipedyke/pkg/cataloguer"
)

// Ranker ranks the hosts of one list. It is immutable.
type Ranker struct {
	names  []string
	hashes []uint64
}

// New returns a ranker of the names, which must be unique.
func New(names []string) *Ranker {
	r := &Ranker{names: slices.Clone(names), hashes: make([]uint64, len(names))}
	slices.Sort(r.names)
	for i, n := range r.names {
		r.hashes[i] = xxhash.Sum64String(n)
	}

	return r
}

// NotLeaving returns the names of the hosts that are not marked as leaving, or
// of all hosts if every one is leaving. Only these hosts hold shared roles, so
// that a leaving host can hand its roles over while it still runs.
func NotLeaving(hosts *cataloguer.Hosts) []string {
	if hosts == nil {
		return nil
	}
	var remaining, all []string
	for _, h := range hosts.Hosts {
		all = append(all, h.Name)
		if !h.Leaving {
			remaining = append(remaining, h.Name)
		}
	}
	if len(remaining) == 0 {
		return all
	}

	return remaining
}

// HashKey returns the hash of a key, as Top, AppendTop and First take it.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// Names returns the sorted names. The slice must not be modified.
func (r *Ranker) Names() []string { return r.names }

// Top returns the n names with the highest hash for the key, highest first.
func (r *Ranker) Top(key uint64, n int) []string {
	return r.AppendTop(nil, key, n)
}

// AppendTop appends the result of Top to out.
func (r *Ranker) AppendTop(out []string, key uint64, n int) []string {
	type candidate struct {
		score uint64
		index int
	}
	var buf [8]candidate
	best := buf[:0]
	for i, h := range r.hashes {
		c := candidate{mix(h ^ mix(key)), i}
		// Ties go to the name that sorts first, so that the result does not
		// depend on the order of the names passed to New.
		pos := len(best)
		for pos > 0 && c.score > best[pos-1].score {
			pos--
		}
		if pos >= n {
			continue
		}
		if len(best) == n {
			best = best[:n-1]
		}
		best = slices.Insert(best, pos, c)
	}
	for _, c := range best {
		out = append(out, r.names[c.index])
	}

	return out
}

// First returns the name with the highest hash for the key among those for which
// match returns true, or "" if there is none.
func (r *Ranker) First(key uint64, match func(name string) bool) string {
	key = mix(key)
	best, found := uint64(0), ""
	for i, h := range r.hashes {
		if s := mix(h ^ key); (found == "" || s > best) && match(r.names[i]) {
			best, found = s, r.names[i]
		}
	}

	return found
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}
