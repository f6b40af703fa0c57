// Package absence tells how long something that could not be reached is left out.
package absence

import "time"

const (
	first   = time.Second     // of the first absence; each further one takes twice as long
	longest = 8 * time.Second // so that one that is back is used within the time that returns are judged by
)

// Absence is a time without use, twice as long each time until it is set to the
// zero value.
type Absence struct {
	length time.Duration
	until  time.Duration
}

// Begin begins the next absence, also while one lasts.
func (a *Absence) Begin(now time.Duration) {
	a.length = min(max(2*a.length, first), longest)
	a.until = now + a.length
}

// On says whether it lasts at now.
func (a Absence) On(now time.Duration) bool { return now < a.until }

// Until returns when it ends, or ended.
func (a Absence) Until() time.Duration { return a.until }
