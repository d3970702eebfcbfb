package director

import (
	"maps"
	"slices"
	"time"

	"snipedyke/internal/logger"
)

func (d *Director) startShutdown(now time.Time) {
	if !d.leaving {
		d.leaving, d.leavingSince = true, now
		d.log(logger.ShutdownStarted, "requests", len(d.requests))
	}
}

// logCutOff logs the requests that the end of the process cuts off.
func (d *Director) logCutOff(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(d.requests)) {
		req := d.requests[id]
		route, endpoint := "", ""
		if req.route != nil {
			route = req.route.Name
		}
		if req.endpoint != nil {
			endpoint = req.endpoint.entry.ID
		}
		d.log(logger.RequestCutOff, "request", req.Name, "route", route, "endpoint", endpoint,
			"age", now.Sub(req.arrivedAt).String(), "leaving", now.Sub(d.leavingSince).String(), "begun", req.begun())
	}
}
