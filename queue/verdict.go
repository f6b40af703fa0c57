package queue

import "time"

// Reason says why a request is refused.
type Reason string

// Reasons of refusals.
const (
	TooLate   Reason = "cannot be served before its deadline"
	QueueFull Reason = "queue full"
	Displaced Reason = "displaced by a more urgent request"
)

// Verdict is the answer to an arrival.
type Verdict struct {
	Refused    Reason        // empty if it waits
	RetryAfter time.Duration // when it would find free capacity; 0 if it waits
	Ahead      int           // entries ahead of it; 0 if there is none, else estimated where costs differ
	Wait       time.Duration // expected wait; 0 if the rate is unknown
}
