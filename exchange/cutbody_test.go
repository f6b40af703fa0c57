package exchange

import (
	"context"
	"fmt"
	"net/http"
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

// Guards against a rejection that is read from the body of the answer, whose head was taken for the rest of
// a response to another request.
func TestARejectionWithinABodyIsNotTakenForTheAnswer(t *testing.T) {
	const (
		body = "HTTP/1.1 503 Service Unavailable\r\nId: 2\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		sent = "hello"
	)
	own := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: %d\r\n\r\n", len(body))
	cut := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n", len(sent)+len(own))
	a, _, _, err := bring(t, []byte(cut+sent+own+body))
	if err == nil && a.Status() != http.StatusOK {
		t.Errorf("%d %v", a.Status(), a.Header())
	}
}
