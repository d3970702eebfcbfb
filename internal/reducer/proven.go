package reducer

// provenGenerationSize is the maximum number of fingerprints in each of the two
// generations of a provenSet.
const provenGenerationSize = 4096

// provenSet is a bounded set of fingerprints whose requests have completed and
// which need no claim to run again. When the young generation is full, it
// replaces the old one, which evicts old fingerprints without tracking their
// order.
type provenSet struct {
	young, old map[uint64]struct{}
}

func newProvenSet() provenSet {
	return provenSet{young: make(map[uint64]struct{})}
}

func (s *provenSet) has(fingerprint uint64) bool {
	_, young := s.young[fingerprint]
	_, old := s.old[fingerprint]

	return young || old
}

func (s *provenSet) add(fingerprint uint64) {
	if len(s.young) >= provenGenerationSize {
		s.old, s.young = s.young, make(map[uint64]struct{})
	}
	s.young[fingerprint] = struct{}{}
}
