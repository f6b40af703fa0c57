package exchange

import "slices"

// Carriers is the set of connections that have carried the sends of one request. The zero value is empty. It is
// not safe for concurrent use.
type Carriers struct {
	numbers []uint64
}

func (s *Carriers) add(c *conn) { s.numbers = append(s.numbers, c.number) }

func (s *Carriers) has(c *conn) bool { return slices.Contains(s.numbers, c.number) }
