package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// copying is an upstream that sends each answer once more where the next one of the connection is due.
func copying(t *testing.T) string {
	var runs atomic.Int64
	return serving(t, func(nc net.Conn) {
		in := bufio.NewReader(nc)
		late := ""
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body := fmt.Sprint("run ", runs.Add(1))
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderRequestID, r.Header.Get(HeaderRequestID), len(body), body)
			if _, err := fmt.Fprint(nc, late, answer); err != nil {
				return
			}
			late = answer
		}
	})
}

// Guards against answers to an earlier request that reach a caller who repeats its ID.
func TestASecondCopyOfAnAnswerIsNotTakenForThatToARequestWithTheSameID(t *testing.T) {
	is := is.New(t)
	s := overSockets(t, copying(t))
	ask := sent{http.MethodGet, "/s/shop/x", "", header(HeaderOrg, "free", HeaderRequest, "r-1")}
	for n := range 3 {
		w, _ := ask.to(s)
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Body.String(), fmt.Sprint("run ", n+1))
	}
}
