// Package change lets the stand-ins of tests wait for each other: what has a state
// tells that it has changed, and others look at it again.
package change

import "context"

// Signal tells of changes. It is guarded by the lock of the state that it belongs
// to; the zero value is ready.
type Signal struct {
	next chan struct{}
}

// Next returns a channel that is closed at the next change.
func (s *Signal) Next() <-chan struct{} {
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// Tell tells all who wait that something has changed.
func (s *Signal) Tell() {
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}

// Await waits until done, which is asked again whenever its channel is closed.
func Await(ctx context.Context, done func() (ok bool, next <-chan struct{})) error {
	for {
		ok, next := done()
		if ok {
			return nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
