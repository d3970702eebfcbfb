package exchanger

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a node that is cut off from all endpoints and hands its requests over to a
// few nodes of other data centres only.
func TestCutOffNodeLearnsAllOthers(t *testing.T) {
	c := qt.New(t)
	n := startNodes(c, "a", "a", "a", "a", "b")[4]
	n.cutOff.Store(true)
	want := "[{127.0.0.1 a} {127.0.0.2 a} {127.0.0.3 a} {127.0.0.4 a}]"
	for deadline := time.After(timeout); ; {
		select {
		case list := <-n.others:
			if fmt.Sprint(list) == want {
				return
			}
		case <-deadline:
			c.Fatal("some nodes are not known")
		}
	}
}
