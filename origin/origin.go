// Package origin records at which software versions streams began, so that a box that did not begin
// a stream can let it go on at that version. Boxes exchange the records in datagrams.
package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/havenrudder/havenrudder/catalog"
)

const (
	generationAge  = time.Minute // longer than callers take a stream up
	generationSize = 16_384      // records
)

// StreamID identifies a stream by the request that brought its first event.
type StreamID uint64

// StreamOf returns the ID of the stream that the request with an ID began.
func StreamOf(request string) StreamID { return StreamID(xxhash.Sum64String(request)) }

// Records are the software versions of streams that began recently. They are kept in two
// generations, each for a minute or until it is full. Records is not safe for concurrent use.
type Records struct {
	newest  map[StreamID]catalog.BuildID
	older   map[StreamID]catalog.BuildID
	rotated time.Duration
}

// NewRecords returns empty records.
func NewRecords() *Records {
	return &Records{
		newest: make(map[StreamID]catalog.BuildID),
	}
}

// Add records the software version of a stream. The first one stays.
func (r *Records) Add(stream StreamID, build catalog.BuildID, now time.Duration) {
	if _, ok := r.Find(stream, now); !ok {
		r.newest[stream] = build
	}
}

// Find returns the software version at which a stream began, if it is recorded.
func (r *Records) Find(stream StreamID, now time.Duration) (catalog.BuildID, bool) {
	r.rotate(now)
	if build, ok := r.newest[stream]; ok {
		return build, true
	}
	build, ok := r.older[stream]
	return build, ok
}

// Len returns the number of records.
func (r *Records) Len() int { return len(r.newest) + len(r.older) }

func (r *Records) rotate(now time.Duration) {
	if now-r.rotated < generationAge && len(r.newest) < generationSize {
		return
	}
	r.older = r.newest
	if now-r.rotated >= 2*generationAge {
		r.older = nil
	}
	r.newest = make(map[StreamID]catalog.BuildID)
	r.rotated = now
}
