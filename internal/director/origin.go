package director

import (
	"time"

	"snipedyke/pkg/encoder"
)

// OriginsLearned provides the versions at which streams have begun, as announced
// by other nodes or sent in reply to a query.
type OriginsLearned struct{ List []encoder.Origin }

// AnnounceOrigins tells the chosen other nodes at which versions streams have
// begun.
type AnnounceOrigins struct{ List []encoder.Origin }

// AskOrigin asks the other nodes at which version a stream of a service has begun.
type AskOrigin struct {
	Key     uint64
	Service string
}

func (OriginsLearned) event()   {}
func (AnnounceOrigins) effect() {}
func (AskOrigin) effect()       {}

// Origin returns the version at which a stream of a service has begun, and reports
// whether it is known.
func (d *Director) Origin(time.Time, uint64, string) (encoder.Origin, bool) {
	return encoder.Origin{}, false
}
