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
	if wait = b.refill(now); wait == 0 {
		b.left -= float64(bytes)
	}
	return wait
}

// refill adds the bytes since the last call, and returns the time until bytes may be taken.
func (b *byteBucket) refill(now time.Duration) (wait time.Duration) {
	b.left = min(b.left+b.rate*(now-b.at).Seconds(), b.burst)
	b.at = now
	if b.left >= 0 {
		return 0
	}
	return time.Duration(-b.left / b.rate * float64(time.Second))
}

// wait returns the time until bytes may be taken; 0 if they may be now.
func (b *byteBucket) wait(now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refill(now)
}

// leftShare returns the part of the capacity that is left, from 0 to 1.
func (b *byteBucket) leftShare(now time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return max(b.left, 0) / b.burst
}

// giveBack returns bytes that were taken and not used; a negative number takes more.
func (b *byteBucket) giveBack(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+float64(bytes), b.burst)
}

// setRate changes the rate and the capacity from now on.
func (b *byteBucket) setRate(rate, burst float64, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.left = min(b.left, burst)
}
