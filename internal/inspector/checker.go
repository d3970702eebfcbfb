package inspector

import (
	"bytes"
	"net/http"
)

// maxHeadBytes is the maximum size of a head that a Checker accepts.
const maxHeadBytes = 64 << 10

// Checker checks the heads of a response, including those of interim responses, as its
// bytes arrive. The zero value is ready to use.
type Checker struct {
	// head holds what has arrived of the present head.
	head []byte
	// complete reports whether the head of the final response has arrived.
	complete bool
}

// Reset prepares the checker for another response.
func (c *Checker) Reset() { c.head, c.complete = c.head[:0], false }

// Check checks the next bytes of the response. It returns an *Error if CheckHead does, or
// if a head exceeds 64 KiB.
func (c *Checker) Check(b []byte) error {
	if c.complete {
		return nil
	}
	c.head = append(c.head, b...)
	for {
		c.head = bytes.TrimLeft(c.head, "\r\n")
		length, err := CheckHead(c.head)
		switch {
		case err != nil:
			return err
		case length == 0 && len(c.head) > maxHeadBytes:
			return &Error{Op: opCheck, Kind: KindCut}
		case length == 0:
			return nil
		}
		if status, _ := ParseStatus(c.head); status >= http.StatusOK || status == http.StatusSwitchingProtocols {
			c.head, c.complete = c.head[:0], true

			return nil
		}
		c.head = c.head[length:]
	}
}
