package standin

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// serveCommon serves the paths that engines and plain services share.
func (b *backend) serveCommon(ctx *fasthttp.RequestCtx, control func(Control)) {
	switch string(ctx.Path()) {
	case "/load":
		writeJSON(ctx, fasthttp.StatusOK, b.reportedLoad())
	case "/stats":
		writeJSON(ctx, fasthttp.StatusOK, b.Stats())
	case "/runs":
		ctx.SetContentType("application/json")
		ctx.SetBody(b.runLog.encode())
	case "/control":
		serveControl(ctx, control)
	case "/health":
		if b.isLoading() {
			writeRefusal(ctx, refusedLoading)

			return
		}
		writeJSON(ctx, fasthttp.StatusOK, struct{}{})
	default:
		writeError(ctx, fasthttp.StatusNotFound, "not_found")
	}
}

// serveControl follows a control after its answer has been sent, as a crash
// would cut off the answer.
func serveControl(ctx *fasthttp.RequestCtx, control func(Control)) {
	if !ctx.IsPost() {
		writeError(ctx, fasthttp.StatusMethodNotAllowed, "method_not_allowed")

		return
	}
	c, err := ParseControl(ctx.PostBody())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetBodyString(err.Error() + "\n")

		return
	}
	if c.Crash > 0 || c.Down > 0 {
		later := Control{Crash: c.Crash, Down: c.Down}
		c.Crash, c.Down = 0, 0
		ctx.SetConnectionClose()
		defer afterResponse(func() { control(later) })
	}
	control(c)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// errorBody is the body of an error response.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

func writeError(ctx *fasthttp.RequestCtx, status int, code string) {
	var f errorBody
	f.Error.Code, f.Error.Message = code, "the stand-in answers: "+code
	writeJSON(ctx, status, f)
}

// A server reports in this header field that it did not run a request.
const (
	runHeader = "Snipedyke-Run"
	runNotRun = "not-run"
)

// writeRefusal answers a request that the backend does not run.
func writeRefusal(ctx *fasthttp.RequestCtx, r refusal) {
	ctx.Response.Header.Set(runHeader, runNotRun)
	writeError(ctx, fasthttp.StatusServiceUnavailable, string(r))
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)

		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
