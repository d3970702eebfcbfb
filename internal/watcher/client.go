package watcher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"snipedyke/internal/inspector"
	"snipedyke/pkg/cataloguer"
)

const (
	// callTimeout bounds a call in addition to its wait for a new version.
	callTimeout = 5 * time.Second
	// versionHeader contains the version that the service holds.
	versionHeader = "Version"
)

// Client is an HTTP client of the configuration service and the host list.
type Client struct {
	configurationURL string
	hostsURL         string
	client           *http.Client
}

// NewClient returns a client for the two addresses.
func NewClient(configuration, hosts netip.AddrPort) *Client {
	return &Client{
		configurationURL: "http://" + configuration.String(),
		hostsURL:         "http://" + hosts.String(),
		// Without reused connections the transport never retries a call on its
		// own, so that each call is counted.
		client: &http.Client{
			Transport:     &http.Transport{DialContext: inspector.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: 16 << 10},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Manifest implements Source.
func (c *Client) Manifest(ctx context.Context, after cataloguer.Version, wait time.Duration) (cataloguer.Version, []byte, error) {
	return c.watch(ctx, c.configurationURL+"/watch", after, wait)
}

// Hosts implements Source.
func (c *Client) Hosts(ctx context.Context, after cataloguer.Version, wait time.Duration) (cataloguer.Version, []byte, error) {
	return c.watch(ctx, c.hostsURL+"/hosts", after, wait)
}

// Document implements Source.
func (c *Client) Document(ctx context.Context, name string) ([]byte, error) {
	_, body, err := c.get(ctx, c.configurationURL+"/documents/"+url.PathEscape(name), callTimeout)

	return body, err
}

func (c *Client) watch(ctx context.Context, path string, after cataloguer.Version, wait time.Duration) (cataloguer.Version, []byte, error) {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "wait": {wait.String()}}

	return c.get(ctx, path+"?"+query.Encode(), wait+callTimeout)
}

// get returns the version and the body, which is empty if there is no new
// version.
func (c *Client) get(ctx context.Context, url string, limit time.Duration) (cataloguer.Version, []byte, error) {
	version, body, err := c.do(ctx, url, limit)
	if err != nil {
		return 0, nil, &Error{Op: "get " + url, Kind: KindCall, Err: err}
	}

	return version, body, nil
}

func (c *Client) do(ctx context.Context, url string, limit time.Duration) (cataloguer.Version, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	res, err := c.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK && res.StatusCode != http.StatusNoContent {
		return 0, nil, fmt.Errorf("unexpected status %d, want 200 or 204", res.StatusCode)
	}
	version, err := strconv.ParseUint(res.Header.Get(versionHeader), 10, 64)
	if err != nil {
		return 0, nil, fmt.Errorf("header %s: %w", versionHeader, err)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, cataloguer.MaxDocument+1))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > cataloguer.MaxDocument {
		return 0, nil, fmt.Errorf("body exceeds %d bytes", cataloguer.MaxDocument)
	}

	return cataloguer.Version(version), body, nil
}
