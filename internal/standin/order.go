package standin

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

// order is a request to load and unload models and adapters.
type order struct {
	Fence  uint64   `json:"fence"`
	Load   []string `json:"load"`
	Unload []string `json:"unload"`
}

// serveOrder executes an order. An engine with ChecksFence rejects an order whose
// fencing number is lower than the highest one it has received.
func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	var o order
	if !ctx.IsPost() || json.Unmarshal(ctx.PostBody(), &o) != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_order")

		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFence && o.Fence < e.highestFence {
		writeError(ctx, fasthttp.StatusConflict, "old_fence")

		return
	}
	e.highestFence = max(e.highestFence, o.Fence)
	e.loaded = slices.DeleteFunc(e.loaded, func(name string) bool { return slices.Contains(o.Unload, name) })
	time.AfterFunc(e.opts.DownloadTime, func() { e.addLoaded(o.Load) })
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

func (e *Engine) addLoaded(names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range names {
		if !slices.Contains(e.loaded, name) {
			e.loaded = append(e.loaded, name)
		}
	}
}

// loadedNames returns the names of the loaded models and adapters.
func (e *Engine) loadedNames() []string {
	e.mu.Lock()
	defer e.mu.Unlock()

	return slices.Clone(e.loaded)
}
