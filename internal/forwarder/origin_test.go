package forwarder

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/director"
	"snipedyke/pkg/encoder"
)

// Guards against effects about origins that are dropped, and against a node
// without an exchanger that fails.
func TestOriginEffectsReachTheExchanger(t *testing.T) {
	c := qt.New(t)
	var announced []encoder.Origin
	var asked []encoder.OriginQuery
	confirmed := 0
	f := &Forwarder{opts: Options{
		ConfirmView:     func() { confirmed++ },
		AnnounceOrigins: func(list []encoder.Origin) { announced = append(announced, list...) },
		AskOrigin: func(key uint64, service string) {
			asked = append(asked, encoder.OriginQuery{Key: key, Service: service})
		},
	}}
	list := []encoder.Origin{{Key: 1, Version: "4.1.0"}, {Key: 2, Version: "4.2.0"}}
	effects := []director.Effect{director.AnnounceOrigins{List: list}, director.AskOrigin{Key: 3, Service: "chat"}, director.ConfirmView{}}
	for _, e := range effects {
		f.execute(e)
	}
	c.Check(announced, qt.DeepEquals, list)
	c.Check(asked, qt.DeepEquals, []encoder.OriginQuery{{Key: 3, Service: "chat"}})
	c.Check(confirmed, qt.Equals, 1)
	for _, e := range effects {
		new(Forwarder).execute(e)
	}
}
