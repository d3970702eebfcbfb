package forwarder

import (
	"bytes"
	"errors"
)

// errNoFrame means that the end of a response is not known.
var errNoFrame = errors.New("response has no length, and the connection was not to be closed")

// persistence is what a response head says about the connection.
type persistence int

const (
	// unstated means that the head says nothing, as of HTTP/1.1.
	unstated persistence = iota
	// persistent means that the connection stays open.
	persistent
	// closing means that the connection will be closed.
	closing
)

// parsePersistence returns what a valid response head says about the connection.
func parsePersistence(head []byte) persistence {
	conn, closes := unstated, false
	if !bytes.HasPrefix(head, []byte("HTTP/1.1 ")) {
		conn = closing
	}
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte{':'})
		switch {
		case bytes.EqualFold(name, []byte("keep-alive")):
			conn = persistent
		case bytes.EqualFold(name, []byte("connection")):
			for option := range bytes.SplitSeq(value, []byte{','}) {
				switch option = bytes.TrimSpace(option); {
				case bytes.EqualFold(option, []byte("close")):
					closes = true
				case bytes.EqualFold(option, []byte("keep-alive")):
					conn = persistent
				}
			}
		}
	}
	if closes {
		return closing
	}

	return conn
}
