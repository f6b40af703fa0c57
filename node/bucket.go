package node

import (
	"sync"
	"time"
)

// byteBucket is a token bucket for the bytes of long answers.
type byteBucket struct {
	mu    sync.Mutex
	rate  float64 // bytes per second
	burst float64 // capacity in bytes
	left  float64 // bytes; below 0 after an answer that was longer
	at    time.Duration
}

func newByteBucket(rate, burst float64) *byteBucket {
	return &byteBucket{
		rate:  rate,
		burst: burst,
		left:  burst,
	}
}

// take takes a number of bytes, or returns the time until the bucket allows the next answer.
func (b *byteBucket) take(bytes int, now time.Duration) (wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+b.rate*(now-b.at).Seconds(), b.burst)
	b.at = now
	if b.left < 0 {
		return time.Duration(-b.left / b.rate * float64(time.Second))
	}
	b.left -= float64(bytes)
	return 0
}
