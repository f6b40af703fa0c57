// Package recent has a set that forgets its oldest keys.
package recent

// Set is a set of the keys that were added last. It is not safe for concurrent use.
type Set[K comparable] struct {
	limit int
	keys  []K // in a ring
	next  int // index of the oldest key once the ring is full
	count map[K]int
}

// NewSet returns an empty set of at most limit keys, which must be positive.
func NewSet[K comparable](limit int) *Set[K] {
	return &Set[K]{
		limit: limit,
		count: make(map[K]int),
	}
}

// Add adds a key and reports whether it was among the last ones that were added.
func (s *Set[K]) Add(key K) (known bool) {
	known = s.count[key] > 0
	s.count[key]++
	if len(s.keys) < s.limit {
		s.keys = append(s.keys, key)
		return known
	}
	s.remove(s.keys[s.next])
	s.keys[s.next] = key
	s.next = (s.next + 1) % s.limit
	return known
}

func (s *Set[K]) remove(key K) {
	if s.count[key]--; s.count[key] == 0 {
		delete(s.count, key)
	}
}
