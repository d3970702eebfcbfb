package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"snipedyke/internal/inspector"
)

const (
	callTimeout = 30 * time.Second
	// maxResponseSize bounds a response in bytes, and maxTraceSize that with a
	// trace.
	maxResponseSize = 64 << 20
	maxTraceSize    = 256 << 20
)

// Client calls the administration API of a node.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client for the node at the address.
func NewClient(address netip.AddrPort, token string) *Client {
	return &Client{
		base: "http://" + address.String(), token: token,
		http: &http.Client{
			Timeout: callTimeout,
			// The transport retries calls on its own only on reused connections,
			// so none are reused.
			Transport:     &http.Transport{DialContext: inspector.DialContext, DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Status returns the whole status of the node.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	return s, c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
}

// Versions returns the versions in force at the node and its peers, and the refused
// publications.
func (c *Client) Versions(ctx context.Context) (v Versions, err error) {
	return v, c.call(ctx, http.MethodGet, "/v1/versions", nil, &v)
}

// Endpoints returns the state of the endpoints.
func (c *Client) Endpoints(ctx context.Context) (e []Endpoint, err error) {
	return e, c.call(ctx, http.MethodGet, "/v1/endpoints", nil, &e)
}

// Queues returns the queues of the pools whose home is the node.
func (c *Client) Queues(ctx context.Context) (q []Queue, err error) {
	return q, c.call(ctx, http.MethodGet, "/v1/queues", nil, &q)
}

// Limits returns the limits and the usage of the entries.
func (c *Client) Limits(ctx context.Context) (l []Limit, err error) {
	return l, c.call(ctx, http.MethodGet, "/v1/limits", nil, &l)
}

// Members returns the hosts and the homes of the pools.
func (c *Client) Members(ctx context.Context) (m Members, err error) {
	return m, c.call(ctx, http.MethodGet, "/v1/members", nil, &m)
}

// Decisions returns the latest decisions that the filter selects.
func (c *Client) Decisions(ctx context.Context, f Filter) (d []Decision, err error) {
	q := url.Values{}
	if f.Request != 0 {
		q.Set("request", strconv.FormatUint(f.Request, 10))
	}
	if f.Entry != "" {
		q.Set("entry", f.Entry)
	}
	if f.Class != "" {
		q.Set("class", f.Class)
	}

	return d, c.call(ctx, http.MethodGet, "/v1/decisions?"+q.Encode(), nil, &d)
}

// Orders returns the emergency orders.
func (c *Client) Orders(ctx context.Context) (o []Order, err error) {
	return o, c.call(ctx, http.MethodGet, "/v1/orders", nil, &o)
}

// CreateOrder creates an emergency order.
func (c *Client) CreateOrder(ctx context.Context, r OrderRequest) (o Order, err error) {
	return o, c.call(ctx, http.MethodPost, "/v1/orders", r, &o)
}

// Cancel cancels an emergency order.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, "/v1/orders/"+url.PathEscape(id), nil, nil)
}

// Leave starts the node's graceful shutdown.
func (c *Client) Leave(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "/v1/leave", nil, nil)
}

// Trace downloads the node's trace and writes it to w.
func (c *Client) Trace(ctx context.Context, w io.Writer) error {
	response, err := c.send(ctx, http.MethodGet, "/v1/trace", nil)
	if err != nil {
		return err
	}
	defer closeBody(response)
	n, err := io.Copy(w, io.LimitReader(response.Body, maxTraceSize+1))
	if err == nil && n > maxTraceSize {
		err = fmt.Errorf("the trace has more than %d bytes", maxTraceSize)
	}
	if err != nil {
		return &Error{Op: "trace", Kind: KindCallFailed, Err: err}
	}

	return nil
}

// call makes a call and decodes the response into out, unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	response, err := c.send(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer closeBody(response)
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseSize)).Decode(out); err != nil {
		return &Error{Op: "call " + path, Kind: KindCallFailed, Err: err}
	}

	return nil
}

// send makes a call and returns the response, whose body the caller must close. It
// returns an error response as an *Error.
func (c *Client) send(ctx context.Context, method, path string, in any) (*http.Response, error) {
	fail := func(err error) (*http.Response, error) {
		return nil, &Error{Op: "call " + path, Kind: KindCallFailed, Err: err}
	}
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return fail(err)
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fail(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return fail(err)
	}
	// net/http accepts statuses below 100.
	if response.StatusCode >= 200 && response.StatusCode < 300 {
		return response, nil
	}
	defer closeBody(response)
	var failure errorBody
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBodySize)).Decode(&failure); err != nil || failure.Error.Code == "" {
		return fail(fmt.Errorf("unexpected status %s", response.Status))
	}

	return nil, &Error{Op: "call " + path, Kind: failure.Error.Code, Err: errors.New(failure.Error.Message)}
}

func closeBody(response *http.Response) { _ = response.Body.Close() }
