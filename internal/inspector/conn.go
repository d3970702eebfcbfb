package inspector

import (
	"context"
	"net"
)

// conn is a connection whose first response is checked.
type conn struct {
	net.Conn
	checker Checker
}

// Read implements io.Reader.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if invalid := c.checker.Check(b[:n]); invalid != nil {
		return 0, invalid
	}

	return n, err
}

// DialContext connects to an address. It is meant for an http.Transport that does not
// reuse connections: reads from the connection fail with an *Error if a Checker refuses the
// response.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}

	return &conn{Conn: c}, nil
}
