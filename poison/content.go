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
	"slices"
)

const (
	digestBytes = 16 // long enough to make a second preimage infeasible
	maxParts    = 64 // of a prompt that may be suspect
)

// Digest identifies all requests of the same content without revealing the content.
type Digest [digestBytes]byte

// String returns the digest in hexadecimal, as in the log and the dump.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// key returns a prefix of the digest, for lookups within this process.
func (d Digest) key() uint64 { return binary.LittleEndian.Uint64(d[:]) }

// Content is the part of a request that determines what a replica runs. It is not safe for
// concurrent use.
type Content struct {
	Method string
	Host   string
	Target string // path and query
	Caller string // credentials, so that no caller can quarantine the requests of another; empty for none
	Body   []byte
	Parts  []string // IDs of the prompt parts that other requests may share, in order
	digest *Digest  // nil until computed
	parts  []Digest // of Parts; nil until computed
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

// PartDigests returns the digests of the first maxParts distinct parts of the prompt and caches them.
func (c *Content) PartDigests() []Digest {
	if c.parts != nil || len(c.Parts) == 0 {
		return c.parts
	}
	for _, id := range c.Parts {
		d := c.partDigest(id)
		if id != "" && !slices.Contains(c.parts, d) {
			c.parts = append(c.parts, d)
		}
		if len(c.parts) == maxParts {
			break
		}
	}
	return c.parts
}

// partDigest returns the digest of a part, which differs for each caller, so that none can quarantine the
// parts of another.
func (c *Content) partDigest(id string) (d Digest) {
	h := sha256.New()
	writeFields(h, c.Host, c.Caller, id)
	copy(d[:], h.Sum(nil))
	return d
}

// writeTo writes the content to a hash. Each field but the last is prefixed with its length,
// so that different contents have different encodings.
func (c *Content) writeTo(h hash.Hash) {
	writeFields(h, c.Method, c.Host, c.Target, c.Caller)
	_, _ = h.Write(c.Body) // a hash never returns an error
}

// writeFields writes fields to a hash, each prefixed with its length.
func writeFields(h hash.Hash, fields ...string) {
	var size [binary.MaxVarintLen64]byte
	for _, field := range fields {
		n := binary.PutUvarint(size[:], uint64(len(field)))
		_, _ = h.Write(size[:n]) // a hash never returns an error
		_, _ = io.WriteString(h, field)
	}
}
