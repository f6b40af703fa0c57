package ingress

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/exchange"
)

const (
	maxBufferMemory = 12 << 20 // of all answers that a box buffers, beyond freeBufferBytes of each
	freeBufferBytes = 16 << 10 // of each answer, so that short answers are served whatever others hold
	minBlock        = 512
	firstBlock      = 2 << 10 // of a body without a length
	maxBlock        = 16 << 10
)

// bufferMemory bounds the bytes of answers that a box buffers: 200 replicas that send incomplete
// answers at once would otherwise take 256 KiB or, with an event, 1 MiB each.
type bufferMemory struct {
	used atomic.Int64 // beyond freeBufferBytes of each reservation
}

// reservation is the part of the memory that one answer uses. It belongs to one goroutine.
type reservation struct {
	memory *bufferMemory
	bytes  int64 // beyond freeBufferBytes
}

func (m *bufferMemory) reservation() reservation {
	return reservation{
		memory: m,
	}
}

// resize changes the reservation to a number of bytes, and reports whether there is room for it.
func (r *reservation) resize(bytes int) bool {
	want := max(int64(bytes)-freeBufferBytes, 0)
	if r.memory.used.Add(want-r.bytes) > maxBufferMemory && want > r.bytes {
		r.memory.used.Add(r.bytes - want)
		return false
	}
	r.bytes = want
	return true
}

// release ends the reservation; it may be resized again.
func (r *reservation) release() {
	if r.bytes > 0 {
		r.memory.used.Add(-r.bytes)
		r.bytes = 0
	}
}

// take releases the reservation and takes over another one.
func (r *reservation) take(other *reservation) {
	r.release()
	*r = *other
	other.bytes = 0
}

// blocks is the start of a body. Blocks are never copied to a longer one, so that a body takes no
// more memory than its length and one block.
type blocks [][]byte

func (b blocks) len() (n int) {
	for _, block := range b {
		n += len(block)
	}
	return n
}

func (b blocks) writeTo(w io.Writer) error {
	for _, block := range b {
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
	return nil
}

// buffer reads the start of a body, and reports whether that is the whole. It reads until more than
// maxBufferedBody bytes came, or the memory for buffered answers is used up.
func (a *attempt) buffer(answer *exchange.Response, body io.Reader) (out blocks, whole bool, err error) {
	size := firstBlock
	if length, _ := answer.BodyLength(); length >= 0 {
		size = int(min(max(length, minBlock), maxBlock))
	}
	for n := 0; n <= maxBufferedBody; size = min(2*size, maxBlock) {
		if !a.memory.resize(n + size) {
			return out, false, nil
		}
		block := make([]byte, size)
		got, err := fill(body, block)
		n += got
		out = append(out, block[:got])
		if err != nil {
			whole = errors.Is(err, io.EOF)
			if whole {
				err = nil
			}
			return out, whole, err
		}
	}
	return out, false, nil
}

// fill reads until a block is full or the body ends. Unlike io.ReadFull it tells the end of the body
// from a body that is cut.
func fill(body io.Reader, block []byte) (n int, err error) {
	for n < len(block) && err == nil {
		var got int
		got, err = body.Read(block[n:])
		n += got
	}
	return n, err
}
