package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/wire"
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

// Guards against an answer to another request that is taken for what became of a call.
func TestASecondCopyOfAnAnswerIsNotTakenForWhatBecameOfACall(t *testing.T) {
	is := is.New(t)
	url := copying(t)
	s := overSockets(t, url)
	w, _ := sent{http.MethodGet, "/s/shop/x", "", header(HeaderOrg, "free")}.to(s)
	is.Equal(w.Body.String(), "run 1")
	q := &query{
		service: wire.Service{
			Lookup: "/ticket/{ticket}",
		},
		ticket: "t-1",
	}
	_, result := s.lookUp(q, fleet.Placement{
		URL: url,
	})
	is.Equal(string(result.Body), "run 2")
}
