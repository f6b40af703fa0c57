package ending

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/sleep"
)

const checkInterval = 10 * time.Millisecond // between two checks for unanswered requests

// Shutdown closes the listeners of a server and waits until it has answered all its requests or
// limit ends; then it returns the limit's error if one is unanswered. That of net/http checks
// less and less often, and not when the limit ends.
func Shutdown(limit context.Context, s *http.Server) error {
	once, cancel := context.WithCancel(context.Background())
	cancel() // so that s.Shutdown checks once
	for {
		err := s.Shutdown(once)
		if !errors.Is(err, context.Canceled) {
			return err
		}
		if limit.Err() != nil {
			return limit.Err()
		}
		sleep.For(limit, checkInterval)
	}
}
