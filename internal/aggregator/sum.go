package aggregator

import (
	"slices"

	"snipedyke/pkg/encoder"
)

// Merge returns the sum of two loads. Loads are sorted by endpoint.
func Merge(a, b encoder.Sum) encoder.Sum {
	total := encoder.Sum{
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
				Endpoint: x.Endpoint, Running: x.Running + y.Running, Unread: x.Unread + y.Unread,
			})
			i++
			j++
		}
	}

	return total
}

// subtract returns a total without a part of it.
func subtract(total, part encoder.Sum) encoder.Sum {
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
			l.Unread -= min(p.Unread, l.Unread)
		}
	}
	rest.Loads = slices.DeleteFunc(rest.Loads, func(l encoder.Load) bool { return l.Running == 0 })

	return rest
}
