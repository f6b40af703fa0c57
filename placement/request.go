package placement

import (
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

// Segment is a segment of a prompt that requests may share.
type Segment struct {
	ID     string
	Tokens int
}

// Request is the input of a placement decision.
type Request struct {
	Service       string
	Key           string          // of the request itself; spreads requests without shared segments
	Segments      []Segment       // shared segments of the prompt, in order
	Prompt        int             // tokens of the prompt; 0 for a plain service
	AnswerTokens  int             // expected tokens of the answer
	GapTarget     time.Duration   // latency target between two events of a stream; 0 for none
	Build         catalog.BuildID // software version at which its stream began; 0 for any
	Tried         []string        // incarnations that must not receive it again
	StepsPerEvent float64         // engine steps per event of the stream; 0 if unknown
	Urgency       int             // 0 for the most urgent; catalog.Table.Urgency
	Unshared      bool            // not bounded by this box's share of the capacity, as it can't wait for it
	Rank          float64         // from 0 for the most urgent requests of the service to 1 for the least
}

// UniqueTokens returns the number of prompt tokens outside shared segments.
func (req *Request) UniqueTokens() int {
	return max(req.Prompt-req.SharedTokens(), 0)
}

// SharedTokens returns the number of prompt tokens in shared segments.
func (req *Request) SharedTokens() int {
	n := 0
	for _, p := range req.Segments {
		n += p.Tokens
	}
	return n
}

// RoutingKey returns the key by which requests with the same shared segments are sent to the
// same replicas.
func (req *Request) RoutingKey() string {
	if n := len(req.Segments); n > 0 {
		return req.Segments[n-1].ID
	}
	return req.Key
}
