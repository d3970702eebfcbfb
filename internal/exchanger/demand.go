package exchanger

import (
	"snipedyke/internal/aggregator"
	"snipedyke/pkg/encoder"
)

// exchangeDemands sends the demands of client accounts if that is due, and passes on what
// the node knows of those of the fleet.
func (x *Exchanger) exchangeDemands() {
	if x.opts.Demands == nil || x.opts.SetDemands == nil || !x.demandsDue() {
		return
	}
	x.opts.SetDemands(x.sendDemands(x.opts.Demands()))
}

func (x *Exchanger) demandsDue() bool {
	x.mu.Lock()
	defer x.mu.Unlock()

	return x.opts.Clock().Sub(x.demandsSent) >= aggregator.DemandInterval
}

// sendDemands sends the node's own demands and returns those of the fleet, or nil if they
// are unknown.
func (x *Exchanger) sendDemands(own []encoder.Demand) []encoder.Demand {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.opts.Clock()
	x.demandsSent = now
	x.send(x.aggregator.Demand(now, own))
	fleet, ok := x.aggregator.FleetDemand(now)
	if !ok {
		return nil
	}

	return fleet
}
