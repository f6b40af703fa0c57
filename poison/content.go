// Package poison detects and quarantines requests that crash the replicas which run them
// (poison messages, queries of death). Retries of such a request arrive under other IDs at any
// box, so boxes identify it by a digest of its content and gossip its record.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// digestBytes is long enough to make a second preimage infeasible.
const digestBytes = 16

// Digest identifies all requests of the same content without revealing the content.
type Digest [digestBytes]byte

// String returns the digest in hexadecimal, as in the log and the dump.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Content is the part of a request that determines what a replica runs. It is not safe for
// concurrent use.
type Content struct {
	Method string
	Host   string
	Target string // path and query
	Caller string // credentials, so that no caller can quarantine the requests of another; empty for none
	Body   []byte
	digest *Digest // nil until computed
}

// Digest returns the digest of the content and caches it.
func (c *Content) Digest() Digest {
	if c.digest != nil {
		return *c.digest
	}
	h := sha256.New()
	c.writeTo(h)
	var d Digest
	copy(d[:], h.Sum(nil))
	c.digest = &d
	return d
}

// Digested reports whether the digest has been computed.
func (c *Content) Digested() bool { return c.digest != nil }

// writeTo writes the content to a hash. Each field but the last is prefixed with its length,
// so that different contents have different encodings.
func (c *Content) writeTo(h hash.Hash) {
	var size [binary.MaxVarintLen64]byte
	for _, field := range []string{c.Method, c.Host, c.Target, c.Caller} {
		n := binary.PutUvarint(size[:], uint64(len(field)))
		_, _ = h.Write(size[:n]) // a hash never returns an error
		_, _ = io.WriteString(h, field)
	}
	_, _ = h.Write(c.Body)
}
