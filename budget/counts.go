package budget

import "time"

const bucketLength = 100 * time.Millisecond // a hundredth of the usual window, so that rounding costs about 1%

// bucket counts the events of one period of bucketLength.
type bucket struct {
	index    int64 // time divided by bucketLength
	requests int
	retries  int
}

// counts is a ring buffer of buckets, each at its index modulo the ring's length. A
// bucket whose index is out of date counts as empty.
type counts struct {
	ring []bucket
}

func newCounts(n int) *counts {
	return &counts{
		ring: make([]bucket, n),
	}
}

// bucketsFor returns the number of buckets that a window of length span can overlap:
// one more than fit into it, since it may begin within a bucket.
func bucketsFor(span time.Duration) int {
	buckets := (max(span, 0) + bucketLength - 1) / bucketLength
	return int(buckets) + 1
}

func bucketOf(now time.Duration) int64 {
	return int64(now / bucketLength)
}

func (c *counts) slot(index int64) *bucket {
	return &c.ring[index%int64(len(c.ring))]
}

// bucketAt returns the bucket of index, reset if it held an older one.
func (c *counts) bucketAt(index int64) *bucket {
	b := c.slot(index)
	if b.index != index {
		*b = bucket{
			index: index,
		}
	}
	return b
}

// remaining returns the minimum of allowance + ratio x requests - retries over all spans
// that end now and begin in a bucket of the ring. Of the bucket in which a span begins
// only the retries count.
func (c *counts) remaining(ratio, allowance float64, current int64) float64 {
	lowest := allowance
	balance := allowance
	oldest := max(0, current-int64(len(c.ring))+1)
	for index := current; index >= oldest; index-- {
		b := c.slot(index)
		if b.index != index {
			continue
		}
		balance -= float64(b.retries)
		lowest = min(lowest, balance)
		balance += ratio * float64(b.requests)
	}
	return lowest
}

// idle reports whether the window that ends in current has no events.
func (c *counts) idle(current int64) bool {
	oldest := current - int64(len(c.ring)) + 1
	for _, b := range c.ring {
		if b.index >= oldest && b.requests+b.retries > 0 {
			return false
		}
	}
	return true
}

func (c *counts) resize(n int) {
	if n == len(c.ring) {
		return
	}
	old := c.ring
	c.ring = make([]bucket, n)
	for _, b := range old {
		if b.requests+b.retries == 0 {
			continue
		}
		slot := c.slot(b.index)
		if b.index >= slot.index {
			*slot = b
		}
	}
}
