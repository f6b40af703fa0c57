package gateway

import (
	"sync"

	"github.com/havenrudder/havenrudder/common/recent"
)

const maxRecentSends = 4096 // sends that a box remembers

// send identifies the sends of a request to an upstream.
type send struct {
	url string // of the upstream
	id  string // of the request
}

// sends finds requests that are sent to an upstream again under their ID. On a kept connection the
// upstream may send another copy of its earlier answer, which can't be told from the new one.
type sends struct {
	mu     sync.Mutex
	recent *recent.Set[send]
}

// isRepeat records a send and reports whether the request was recently sent to the upstream.
func (s *sends) isRepeat(url, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recent.Add(send{
		url: url,
		id:  id,
	})
}
