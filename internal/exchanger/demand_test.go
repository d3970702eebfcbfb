package exchanger

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/encoder"
)

// Guards against demands that are not sent, or that do not reach members and other data
// centres.
func TestDemandsReachAllNodes(t *testing.T) {
	c := qt.New(t)
	want := []encoder.Demand{{Group: 1, Account: 5, Offered: 1 + 2 + 4, Admitted: 3}}
	for i, n := range startNodes(c, "a", "a", "b") {
		for deadline := time.After(timeout); ; {
			select {
			case got := <-n.fleetDemands:
				if !slices.Equal(got, want) {
					continue
				}
			case <-deadline:
				c.Errorf("node %d does not know the demands of the fleet", i)
			}

			break
		}
	}
}
