// Package issuer issues and verifies idempotency keys that contain the name
// and the incarnation of the node that issued them.
package issuer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
)

const (
	// prefix distinguishes issued keys from keys chosen by callers.
	prefix = "sk1_"
	// macSize is the length of the truncated MAC in bytes; guessing a 128-bit
	// MAC is infeasible.
	macSize = 16
	// headerSize is the length of the incarnation and the sequence number in
	// bytes.
	headerSize = 16
	// maxNodeName is the maximum length of a node name in bytes.
	maxNodeName = 253
)

// MaxBatch is the maximum number of keys that one call of Issue returns.
const MaxBatch = 1000

// Issuer issues keys for one incarnation of a node. It is not safe for
// concurrent use.
type Issuer struct {
	node        string
	incarnation uint64
	secret      []byte
	// sequence is the number of the last issued key. It makes every key unique.
	sequence uint64
}

// New returns an issuer whose keys are authenticated with the secret shared by
// all nodes.
func New(node string, incarnation uint64, secret []byte) *Issuer {
	return &Issuer{node: node, incarnation: incarnation, secret: append([]byte(nil), secret...)}
}

// Issue returns n new keys, at most MaxBatch.
func (i *Issuer) Issue(n int) []string {
	n = max(0, min(n, MaxBatch))
	keys := make([]string, 0, n)
	for range n {
		i.sequence++
		body := binary.BigEndian.AppendUint64(nil, i.incarnation)
		body = binary.BigEndian.AppendUint64(body, i.sequence)
		body = append(body, i.node...)
		keys = append(keys, prefix+base64.RawURLEncoding.EncodeToString(append(body, i.mac(body)...)))
	}

	return keys
}

// Issued reports whether a key has the prefix of issued keys. A key with this
// prefix that Verify rejects is forged or was issued with another secret.
func Issued(key string) bool { return strings.HasPrefix(key, prefix) }

// Key holds the contents of an issued key.
type Key struct {
	// Node and Incarnation identify the issuer.
	Node        string
	Incarnation uint64
	// Number is the sequence number of the key within the incarnation,
	// starting at 1.
	Number uint64
}

// Verify returns the contents of an issued key, and false if the key was not
// issued by a node with the same secret.
func (i *Issuer) Verify(key string) (Key, bool) {
	encoded, found := strings.CutPrefix(key, prefix)
	if !found || len(encoded) > base64.RawURLEncoding.EncodedLen(headerSize+maxNodeName+macSize) {
		return Key{}, false
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil || len(raw) <= headerSize+macSize {
		return Key{}, false
	}
	body, mac := raw[:len(raw)-macSize], raw[len(raw)-macSize:]
	if !hmac.Equal(mac, i.mac(body)) {
		return Key{}, false
	}

	return Key{
		Node:        string(body[headerSize:]),
		Incarnation: binary.BigEndian.Uint64(body),
		Number:      binary.BigEndian.Uint64(body[8:]),
	}, true
}

func (i *Issuer) mac(body []byte) []byte {
	h := hmac.New(sha256.New, i.secret)
	// The label separates MACs of keys from other uses of the secret.
	h.Write([]byte("snipedyke issued key\x00"))
	h.Write(body)

	return h.Sum(nil)[:macSize]
}
