package exchange

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a response that has come and is waited for until the request's time is up, as the rest of
// a response to another request that was cut within its body.
func TestABodyThatIsCutBeforeTheAnswerDoesNotHoldTheRequestUp(t *testing.T) {
	const (
		cut  = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4000\r\n\r\nhello"
		most = 500 * time.Millisecond
	)
	for _, own := range wholeAnswers[:10] {
		t.Run(own.name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, func(c *peer) {
				_, _ = c.request()
				c.send(cut + own.answer)
				_, _ = c.request() // the connection stays open
			})
			ctx, cancel := context.WithTimeout(t.Context(), 2*most)
			defer cancel()
			req := get(s.addr)
			req.Matches = matchesTwo
			began := time.Now()
			a, err := newTestPool(t).Do(ctx, req)
			if err == nil {
				_ = a.Close()
			}
			t.Logf("after %v: %v", time.Since(began), err)
			is.True(time.Since(began) < most)
		})
	}
}
