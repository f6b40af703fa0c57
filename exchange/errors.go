package exchange

import (
	"fmt"
)

// Stage is the step at which an exchange failed.
type Stage int

// The stages of an exchange.
const (
	StageDial     Stage = iota // no connection could be established
	StageWrite                 // the request could not be written
	StageResponse              // no complete response header was received
	StageMismatch              // the response belongs to another request
)

// String returns the name of the stage.
func (s Stage) String() string {
	switch s {
	case StageDial:
		return "dial"
	case StageWrite:
		return "write"
	case StageResponse:
		return "response"
	case StageMismatch:
		return "crossed"
	}
	return fmt.Sprintf("stage %d", int(s))
}

// Error is the failure of an exchange before the response header was read.
type Error struct {
	stage Stage
	sent  bool
	err   error

	declined bool // OnWrite returned err
}

// Error returns the failed stage and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange: %s: %v", e.stage, e.err)
}

// Unwrap returns the cause, which is the context's error if the context ended. A dial
// timeout also matches context.DeadlineExceeded.
func (e *Error) Unwrap() error {
	return e.err
}

// Sent reports whether any byte of the request may have reached the server. If not, the
// request has not been executed.
func (e *Error) Sent() bool {
	return e.sent
}

// Stage returns the step that failed.
func (e *Error) Stage() Stage {
	return e.stage
}
