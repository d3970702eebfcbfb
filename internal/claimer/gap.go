package claimer

import (
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

// gap describes keys whose records may be lost: those with too many of their
// witnesses under the roster among the missing hosts.
type gap struct {
	roster    *roster
	missing   []string
	createdAt time.Time
}

// contains reports whether the records of the subject may be lost. It uses
// space as the buffer for the witnesses.
func (g *gap) contains(s encoder.Subject, space []string) bool {
	w := g.roster.witnesses(space, s)
	absent := 0
	for _, n := range w {
		if slices.Contains(g.missing, n) {
			absent++
		}
	}

	return absent > maxMissingWitnesses(len(w))
}

// addGaps adds gaps that a peer has recorded under the present epoch.
func (c *Claimer) addGaps(now time.Time, gaps []encoder.Gap) {
	v := &c.coverage
	for _, in := range gaps {
		made := now.Add(-time.Duration(in.Age) * time.Microsecond)
		if in.Age < 0 || now.Sub(made) > recordTTL || slices.ContainsFunc(v.gaps, func(g *gap) bool {
			return g.roster.version == in.Roster.Hosts && slices.Equal(g.missing, in.Missing)
		}) {
			continue
		}
		if len(v.gaps) >= maxGaps {
			v.overflow = true
			return
		}
		v.gaps = append(v.gaps, &gap{newRoster(in.Roster.Hosts, in.Roster.Names), slices.Clone(in.Missing), made})
	}
}
