package placement

import "time"

// Part is a segment of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is the input of a placement decision.
type Request struct {
	Service string
	Key     string        // of the request itself; spreads requests without shared segments
	Parts   []Part        // shared segments of the prompt, in order
	Prompt  int           // tokens of the prompt; 0 for a plain service
	Out     int           // expected tokens of the answer
	Gap     time.Duration // latency target between two events of a stream; 0 for none
	Tried   []string      // incarnations that must not receive it again
	Steps   float64       // engine steps per event of the stream; 0 if unknown
	Rank    float64       // from 0 for the most urgent requests of the service to 1 for the least
}

// Own returns the number of prompt tokens outside shared segments.
func (req *Request) Own() int {
	return max(req.Prompt-req.Shared(), 0)
}

// Shared returns the number of prompt tokens in shared segments.
func (req *Request) Shared() int {
	n := 0
	for _, p := range req.Parts {
		n += p.Tokens
	}
	return n
}

// Subject returns the key by which requests with the same shared segments are sent to the
// same replicas.
func (req *Request) Subject() string {
	if n := len(req.Parts); n > 0 {
		return req.Parts[n-1].ID
	}
	return req.Key
}
