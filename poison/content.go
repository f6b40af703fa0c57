// Package poison keeps apart requests that end the replicas which run them (poison
// messages, queries of death). Such a request comes again under other ids, at any box,
// so that boxes tell each other of it by what it asks.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// digestBytes are enough that nobody finds a request with the digest of another's.
const digestBytes = 16

// Digest stands for all requests of the same content. It tells nothing of the content
// but to who has it.
type Digest [digestBytes]byte

// String returns the digest as the log and the dump show it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Content is what two requests have in common that are the same to a replica. It belongs
// to one goroutine.
type Content struct {
	Method string
	Host   string
	Target string // path and query
	Caller string // credentials of the caller, so that nobody has another's requests turned away; empty for none
	Body   []byte
	digest *Digest // nil until it is asked for
}

// Digest returns the digest of the content.
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

// Digested says whether the digest was asked for.
func (c *Content) Digested() bool { return c.digest != nil }

// writeTo writes the content to a hash, each field behind its length, so that no two
// contents are written alike.
func (c *Content) writeTo(h hash.Hash) {
	var size [binary.MaxVarintLen64]byte
	for _, field := range []string{c.Method, c.Host, c.Target, c.Caller} {
		n := binary.PutUvarint(size[:], uint64(len(field)))
		_, _ = h.Write(size[:n]) // a hash takes everything
		_, _ = io.WriteString(h, field)
	}
	_, _ = h.Write(c.Body)
}
