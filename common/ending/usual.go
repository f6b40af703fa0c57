package ending

import (
	"sync"
	"time"
)

const (
	newestWeight = 0.1 // of the newest duration
	stopSlack    = 1.5 // multiple of the usual time of a request that must be left before a planned stop ends
)

// UsualTimes holds a moving average of how long the requests of each service take. Its zero value is empty.
// It is safe for concurrent use.
type UsualTimes struct {
	mu        sync.Mutex
	byService map[string]time.Duration
}

// Add adds the time that a request took.
func (u *UsualTimes) Add(service string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byService == nil {
		u.byService = make(map[string]time.Duration)
	}
	old, known := u.byService[service]
	if !known {
		old = took
	}
	u.byService[service] = old + time.Duration(newestWeight*float64(took-old))
}

// Needed returns the time that must be left before a planned stop ends for a request to be sent; 0 if the
// service has no usual time.
func (u *UsualTimes) Needed(service string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(stopSlack * float64(u.byService[service]))
}
