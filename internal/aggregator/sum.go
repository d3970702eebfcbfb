package aggregator

import (
	"cmp"
	"slices"

	"snipedyke/pkg/encoder"
)

// Merge returns the sum of a and b, whose Loads must be sorted by endpoint.
func Merge(a, b encoder.LoadSum) encoder.LoadSum {
	total := encoder.LoadSum{
		Centre: a.Centre, Nodes: a.Nodes + b.Nodes, Age: max(a.Age, b.Age),
		Long: a.Long + b.Long, Short: a.Short + b.Short,
		Loads: make([]encoder.Load, 0, len(a.Loads)+len(b.Loads)),
	}
	i, j := 0, 0
	for i < len(a.Loads) || j < len(b.Loads) {
		switch {
		case j == len(b.Loads) || i < len(a.Loads) && a.Loads[i].Endpoint < b.Loads[j].Endpoint:
			total.Loads = append(total.Loads, a.Loads[i])
			i++
		case i == len(a.Loads) || b.Loads[j].Endpoint < a.Loads[i].Endpoint:
			total.Loads = append(total.Loads, b.Loads[j])
			j++
		default:
			x, y := a.Loads[i], b.Loads[j]
			total.Loads = append(total.Loads, encoder.Load{
				Endpoint: x.Endpoint, Running: x.Running + y.Running, PrefillTokens: x.PrefillTokens + y.PrefillTokens,
			})
			i++
			j++
		}
	}

	return total
}

// subtract returns total without part. Counters stop at zero.
func subtract(total, part encoder.LoadSum) encoder.LoadSum {
	rest := total
	rest.Nodes -= min(part.Nodes, rest.Nodes)
	rest.Long -= min(part.Long, rest.Long)
	rest.Short -= min(part.Short, rest.Short)
	rest.Loads = slices.Clone(total.Loads)
	j := 0
	for i := range rest.Loads {
		l := &rest.Loads[i]
		for j < len(part.Loads) && part.Loads[j].Endpoint < l.Endpoint {
			j++
		}
		if j < len(part.Loads) && part.Loads[j].Endpoint == l.Endpoint {
			p := part.Loads[j]
			l.Running -= min(p.Running, l.Running)
			l.PrefillTokens -= min(p.PrefillTokens, l.PrefillTokens)
		}
	}
	rest.Loads = slices.DeleteFunc(rest.Loads, func(l encoder.Load) bool { return l.Running == 0 })

	return rest
}

// findLoad returns the index of an endpoint's load, or the index at which to
// insert it, and reports whether it was found.
func findLoad(s encoder.LoadSum, endpoint uint32) (int, bool) {
	return slices.BinarySearchFunc(s.Loads, endpoint, func(l encoder.Load, e uint32) int { return cmp.Compare(l.Endpoint, e) })
}

// apply applies a change to a sum. It copies the loads because other values
// may share the slice.
func apply(s *encoder.LoadSum, c encoder.LoadChange) {
	s.Long = uint32(max(int64(s.Long)+int64(c.Long), 0))
	s.Short = uint32(max(int64(s.Short)+int64(c.Short), 0))
	s.Loads = slices.Clone(s.Loads)
	for _, x := range c.Shifts {
		at, ok := findLoad(*s, x.Endpoint)
		if !ok {
			s.Loads = slices.Insert(s.Loads, at, encoder.Load{Endpoint: x.Endpoint})
		}
		l := &s.Loads[at]
		l.Running = uint16(min(max(int(l.Running)+x.Running, 0), 1<<16-1))
		l.PrefillTokens = uint32(max(int64(l.PrefillTokens)+int64(x.Chunks*encoder.Chunk), 0))
		if l.Running == 0 {
			s.Loads = slices.Delete(s.Loads, at, at+1)
		}
	}
}

// difference returns the change that turns one sum into the other.
func difference(from, to encoder.LoadSum) encoder.LoadChange {
	c := encoder.LoadChange{Centre: to.Centre, Long: int32(to.Long) - int32(from.Long), Short: int32(to.Short) - int32(from.Short)}
	shift := func(endpoint uint32, a, b encoder.Load) {
		running, chunks := int(b.Running)-int(a.Running), (int(b.PrefillTokens)-int(a.PrefillTokens))/encoder.Chunk
		if running != 0 || chunks != 0 {
			c.Shifts = append(c.Shifts, encoder.Shift{Endpoint: endpoint, Running: running, Chunks: chunks})
		}
	}
	for _, l := range to.Loads {
		var former encoder.Load
		if at, ok := findLoad(from, l.Endpoint); ok {
			former = from.Loads[at]
		}
		shift(l.Endpoint, former, l)
	}
	for _, l := range from.Loads {
		if _, ok := findLoad(to, l.Endpoint); !ok {
			shift(l.Endpoint, l, encoder.Load{})
		}
	}

	return c
}
