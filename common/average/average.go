// Package average has moving averages.
package average

import (
	"sync"
	"time"
)

const newestWeight = 0.1 // of the newest duration

// Durations holds a moving average of durations by key. Its zero value is empty. It is safe for concurrent use.
type Durations struct {
	mu    sync.Mutex
	byKey map[string]time.Duration
}

// Add adds a duration to the average of a key.
func (d *Durations) Add(key string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byKey == nil {
		d.byKey = make(map[string]time.Duration)
	}
	old, known := d.byKey[key]
	if !known {
		old = took
	}
	d.byKey[key] = old + time.Duration(newestWeight*float64(took-old))
}

// Of returns the average of a key; 0 if it has none.
func (d *Durations) Of(key string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byKey[key]
}
