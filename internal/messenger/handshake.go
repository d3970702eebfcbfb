package messenger

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
)

// The handshake consists of four frames:
//
//	dialer:   hello (version, nonce, incarnation, own name, acceptor's name)
//	acceptor: hello, proof over both hellos
//	dialer:   proof over both hellos
//	acceptor: verdict
//
// A proof is an HMAC-SHA256 of the sender's role and both hellos, with a key
// derived from the shared secret. The nonces in the hellos prevent its replay,
// and the role prevents its reflection.
const (
	protocolVersion = 1
	nonceSize       = 32
	proofSize       = sha256.Size
	maxNameSize     = 255
	// maxHandshakeFrame is the maximum size in bytes of a frame before
	// authentication.
	maxHandshakeFrame = 4 + 1 + nonceSize + 8 + 2*(1+maxNameSize) + proofSize
	// minSecretSize is the minimum size of a secret in bytes; a shorter one can
	// be guessed from a recorded handshake.
	minSecretSize = 16

	dialerRole   = "dialer"
	acceptorRole = "acceptor"
)

var magic = [4]byte{'S', 'N', 'P', 'D'}

type hello struct {
	nonce       [nonceSize]byte
	incarnation uint64
	name        string
	// target is the name of the node that the dialer wants to reach. It is
	// empty in the acceptor's hello.
	target string
}

func newHello(name, peer string, incarnation uint64) hello {
	h := hello{incarnation: incarnation, name: name, target: peer}
	// crypto/rand.Read never fails.
	_, _ = rand.Read(h.nonce[:])

	return h
}

// append appends the encoded hello to buf.
func (h hello) append(buf []byte) []byte {
	buf = append(buf, magic[:]...)
	buf = append(buf, protocolVersion)
	buf = append(buf, h.nonce[:]...)
	buf = binary.BigEndian.AppendUint64(buf, h.incarnation)
	buf = append(append(buf, byte(len(h.name))), h.name...)

	return append(append(buf, byte(len(h.target))), h.target...)
}

// parseHello parses a hello and returns the bytes that follow it.
func parseHello(buf []byte) (hello, []byte, error) {
	var h hello
	malformed := func(text string) (hello, []byte, error) {
		return hello{}, nil, &Error{Op: "handshake", Kind: KindMalformed, Err: fmt.Errorf("invalid hello: %s", text)}
	}
	const fixed = len(magic) + 1 + nonceSize + 8
	if len(buf) < len(magic)+1 || [4]byte(buf) != magic {
		return malformed("wrong magic")
	}
	if buf[len(magic)] != protocolVersion {
		return hello{}, nil, &Error{
			Op: "handshake", Kind: KindVersion,
			Err: fmt.Errorf("peer has protocol version %d, this node version %d", buf[len(magic)], protocolVersion),
		}
	}
	if len(buf) < fixed {
		return malformed("missing bytes")
	}
	copy(h.nonce[:], buf[len(magic)+1:])
	h.incarnation = binary.BigEndian.Uint64(buf[fixed-8:])
	buf = buf[fixed:]
	for _, field := range []*string{&h.name, &h.target} {
		if len(buf) < 1 || len(buf) < 1+int(buf[0]) {
			return malformed("missing bytes")
		}
		*field = string(buf[1 : 1+buf[0]])
		buf = buf[1+len(*field):]
	}
	if h.name == "" {
		return malformed("empty name")
	}

	return h, buf, nil
}

// deriveKey derives the key of the proofs from the secret, so that they are
// independent of its other uses.
func deriveKey(secret []byte) []byte {
	return computeProof(secret, "snipedyke link key", nil, nil)
}

func computeProof(key []byte, role string, dialer, acceptor []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(dialer)
	mac.Write(acceptor)

	return mac.Sum(nil)
}

var errProof = &Error{Op: "handshake", Kind: KindSecret}

// handshakeDial performs the dialer's part of the handshake, in which both
// nodes authenticate each other. It returns the acceptor's hello.
func handshakeDial(conn io.ReadWriter, key []byte, own hello) (hello, error) {
	ownBytes := own.append(nil)
	if err := writeAll(conn, appendFrame(nil, ownBytes)); err != nil {
		return hello{}, err
	}
	frame, err := readFrame(conn, nil, maxHandshakeFrame)
	if err != nil {
		return hello{}, err
	}
	peer, rest, err := parseHello(frame)
	if err != nil {
		return hello{}, err
	}
	peerBytes := frame[:len(frame)-len(rest)]
	if !hmac.Equal(rest, computeProof(key, acceptorRole, ownBytes, peerBytes)) {
		return hello{}, errProof
	}
	if peer.name != own.target {
		return hello{}, &Error{Op: "handshake", Kind: KindName, Err: fmt.Errorf("connected to node %q instead", peer.name)}
	}
	if err := writeAll(conn, appendFrame(nil, computeProof(key, dialerRole, ownBytes, peerBytes))); err != nil {
		return hello{}, err
	}
	verdict, err := readFrame(conn, nil, maxHandshakeFrame)
	if err != nil {
		return hello{}, err
	}
	if len(verdict) > 0 {
		return hello{}, &Error{Op: "handshake", Kind: verdictKind(verdict), Err: fmt.Errorf("refused by the peer")}
	}

	return peer, nil
}

// handshakeAccept performs the acceptor's part of the handshake. It calls admit
// with the hello of the authenticated peer and sends the peer a verdict, which is
// empty or the kind of the error.
func handshakeAccept(conn io.ReadWriter, key []byte, own hello, admit func(hello) error) (hello, error) {
	frame, err := readFrame(conn, nil, maxHandshakeFrame)
	if err != nil {
		return hello{}, err
	}
	peer, rest, err := parseHello(frame)
	if err != nil {
		return hello{}, err
	}
	if len(rest) > 0 {
		return hello{}, &Error{Op: "handshake", Kind: KindMalformed, Err: fmt.Errorf("invalid hello: %d trailing bytes", len(rest))}
	}
	ownBytes := own.append(nil)
	answer := append(own.append(nil), computeProof(key, acceptorRole, frame, ownBytes)...)
	if err := writeAll(conn, appendFrame(nil, answer)); err != nil {
		return hello{}, err
	}
	proof, err := readFrame(conn, nil, maxHandshakeFrame)
	if err != nil {
		return hello{}, err
	}
	if !hmac.Equal(proof, computeProof(key, dialerRole, frame, ownBytes)) {
		return hello{}, errProof
	}
	err = admit(peer)
	if err == nil && peer.target != own.name {
		err = &Error{Op: "handshake", Kind: KindName, Err: fmt.Errorf("peer %q dialed node %q", peer.name, peer.target)}
	}
	var verdict []byte
	var e *Error
	if err != nil {
		verdict = []byte(KindClosed)
		if asError(err, &e) {
			verdict = []byte(e.Kind)
		}
	}
	if werr := writeAll(conn, appendFrame(nil, verdict)); err == nil {
		err = werr
	}

	return peer, err
}

// verdictKind returns the kind in a verdict, or KindClosed if the kind is
// unknown.
func verdictKind(verdict []byte) Kind {
	for _, k := range kinds {
		if string(verdict) == string(k) {
			return k
		}
	}

	return KindClosed
}

func writeAll(w io.Writer, buf []byte) error {
	if _, err := w.Write(buf); err != nil {
		return connError(err, KindClosed)
	}

	return nil
}
