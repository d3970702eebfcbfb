package director

import (
	"strings"

	"snipedyke/internal/logger"
)

// logMisdirected logs an attempt that another endpoint than e answered.
func (d *Director) logMisdirected(req *request, e *endpoint, f AttemptFinished) {
	var known []string
	for _, id := range d.endpointIDs() {
		if other := d.endpoints[id]; other != e && other.entry.Address == e.entry.Address {
			known = append(known, id)
		}
	}
	d.log(logger.AttemptMisdirected, "request", req.Name, "route", req.route.Name, "endpoint", e.entry.ID,
		"address", e.entry.Address.String(), "answered", f.AnsweredBy, "known", strings.Join(known, ","), "leaving", f.OtherLeaving)
}
