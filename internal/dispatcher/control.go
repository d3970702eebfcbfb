package dispatcher

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/reducer"
	"snipedyke/pkg/cataloguer"
)

// maxReportBytes is the maximum size of a load report.
const maxReportBytes = 64 << 10

// loadReport is the JSON load report of a model engine. Other fields are ignored.
type loadReport struct {
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	Loading bool     `json:"loading"`
	Loaded  []string `json:"loaded"`
}

// loadOrder is the JSON order to a model engine to load and unload models.
type loadOrder struct {
	Fence  uint64   `json:"fence"`
	Load   []string `json:"load"`
	Unload []string `json:"unload"`
}

// Probe checks in the background whether an endpoint responds, and posts
// reducer.Probed. Every status below 500 counts as success, because not every
// service implements the path.
func (d *Dispatcher) Probe(endpoint *cataloguer.Endpoint) {
	d.wg.Go(func() {
		status, _ := d.callEndpoint(endpoint, "/health", nil, d.opts.MaxResponseBytes)
		ok := status != 0 && status < fasthttp.StatusInternalServerError
		d.post(reducer.Probed{Endpoint: endpoint.Name, OK: ok})
	})
}

// Poll requests the load report of a model engine in the background, and posts
// reducer.LoadReported if the report is valid.
func (d *Dispatcher) Poll(endpoint *cataloguer.Endpoint) {
	d.wg.Go(func() {
		status, body := d.callEndpoint(endpoint, "/load", nil, maxReportBytes)
		var report loadReport
		if status != fasthttp.StatusOK || json.Unmarshal(body, &report) != nil || report.Running < 0 || report.Queued < 0 {
			return
		}
		d.post(reducer.LoadReported{
			Endpoint: endpoint.Name, Running: report.Running, Queued: report.Queued, Loading: report.Loading, Loaded: report.Loaded,
		})
	})
}

// Prepare sends an order to a model engine in the background. The response is
// ignored: the engine's load reports show whether it carried out the order.
func (d *Dispatcher) Prepare(endpoint *cataloguer.Endpoint, e reducer.Prepare) {
	d.wg.Go(func() {
		body, err := json.Marshal(loadOrder{Fence: e.Fence, Load: e.Load, Unload: e.Unload})
		if err == nil {
			_, _ = d.callEndpoint(endpoint, "/orders", body, maxReportBytes)
		}
	})
}

// callEndpoint sends a control request, separate from the requests of callers, on
// a new connection. The method is POST if there is a body and GET otherwise. The
// status is zero if there was no response.
func (d *Dispatcher) callEndpoint(endpoint *cataloguer.Endpoint, path string, body []byte, limit int) (int, []byte) {
	conn, err := d.dial(endpoint.Address)
	if err != nil {
		return 0, nil
	}
	c := d.newEndpointConn(conn, func(bool) { _ = conn.Close() })
	defer c.release(false)
	if err := conn.SetDeadline(time.Now().Add(d.opts.DialTimeout)); err != nil {
		return 0, nil
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(path)
	req.Header.SetHost(endpoint.Address.String())
	req.SetConnectionClose()
	if body != nil {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	if err := c.write(req); err != nil {
		return 0, nil
	}
	if err := c.readResponse(resp, limit); err != nil {
		return 0, nil
	}

	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}
