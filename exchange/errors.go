package exchange

import (
	"fmt"
)

// Stage is the step of an exchange at which it failed.
type Stage int

// The stages of an exchange.
const (
	Dial     Stage = iota // no connection could be made
	Write                 // the request could not be written
	Response              // no complete header of an answer came
	Crossed               // the answer belongs to another request
)

// String returns the stage's name.
func (s Stage) String() string {
	switch s {
	case Dial:
		return "dial"
	case Write:
		return "write"
	case Response:
		return "response"
	case Crossed:
		return "crossed"
	}
	return fmt.Sprintf("stage %d", int(s))
}

// Error is the failure of an exchange before the header of its answer was read.
type Error struct {
	stage Stage
	sent  bool
	err   error
}

// Error says where the exchange failed, and why.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange: %s: %v", e.stage, e.err)
}

// Unwrap returns the cause. It is the context's error when the context ended. A
// dial that timed out by itself also matches context.DeadlineExceeded.
func (e *Error) Unwrap() error {
	return e.err
}

// Sent says whether any byte of the request may have reached the other side.
// When it is false, the request has certainly not run.
func (e *Error) Sent() bool {
	return e.sent
}

// Stage returns the step that failed.
func (e *Error) Stage() Stage {
	return e.stage
}
