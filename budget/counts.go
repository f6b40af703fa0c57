package budget

import "time"

// bucketLength is the resolution of the counts: a hundredth of the usual window
// of 10 s, so that rounding costs about one percent.
const bucketLength = 100 * time.Millisecond

// bucket counts the events of one stretch of bucketLength.
type bucket struct {
	index    int64 // time divided by bucketLength
	requests int
	repeats  int
}

// counts is a ring of buckets, each at its index modulo the ring's length. A
// bucket with an index too old for its place is empty.
type counts struct {
	ring []bucket
}

func newCounts(n int) *counts {
	return &counts{
		ring: make([]bucket, n),
	}
}

// bucketsFor returns the number of buckets that a window of length span can
// touch: one more than fit into it, since it begins inside of one.
func bucketsFor(span time.Duration) int {
	whole := (max(span, 0) + bucketLength - 1) / bucketLength
	return int(whole) + 1
}

// bucketOf returns the index of the bucket that holds now.
func bucketOf(now time.Duration) int64 {
	return int64(now / bucketLength)
}

func (c *counts) place(index int64) *bucket {
	return &c.ring[index%int64(len(c.ring))]
}

// at returns the bucket of index to count in, emptied where it held an older one.
func (c *counts) at(index int64) *bucket {
	b := c.place(index)
	if b.index != index {
		*b = bucket{
			index: index,
		}
	}
	return b
}

// left returns the least of extra + ratio x requests - repeats over all spans
// that end now and begin in a bucket of the ring. The bucket in which a span
// begins counts for its repeats and not for its requests.
func (c *counts) left(ratio, extra float64, current int64) float64 {
	least := extra
	balance := extra
	oldest := max(0, current-int64(len(c.ring))+1)
	for index := current; index >= oldest; index-- {
		b := c.place(index)
		if b.index != index {
			continue
		}
		balance -= float64(b.repeats)
		least = min(least, balance)
		balance += ratio * float64(b.requests)
	}
	return least
}

// idle reports whether no event is left in the window that ends in current.
func (c *counts) idle(current int64) bool {
	oldest := current - int64(len(c.ring)) + 1
	for _, b := range c.ring {
		if b.index >= oldest && b.requests+b.repeats > 0 {
			return false
		}
	}
	return true
}

// resize changes the length of the ring to n and keeps the newest buckets.
func (c *counts) resize(n int) {
	if n == len(c.ring) {
		return
	}
	old := c.ring
	c.ring = make([]bucket, n)
	for _, b := range old {
		if b.requests+b.repeats == 0 {
			continue
		}
		place := c.place(b.index)
		if b.index >= place.index {
			*place = b
		}
	}
}
