package exchange

import "slices"

// Carriers is the set of connections of one Pool that have carried the sends of a request. The zero value is
// empty. It is not safe for concurrent use.
type Carriers struct {
	numbers []uint64
}

func (cs *Carriers) add(c *conn) { cs.numbers = append(cs.numbers, c.number) }

func (cs *Carriers) has(c *conn) bool { return slices.Contains(cs.numbers, c.number) }
