package placement

import "time"

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is what a decision needs of a request.
type Request struct {
	Service string
	Key     string        // of the request itself, which spreads those without shared parts
	Parts   []Part        // shared parts of the prompt, in order
	Prompt  int           // tokens of the prompt; 0 for a plain service
	Out     int           // expected tokens of the answer
	Gap     time.Duration // between two events of a stream that is aimed at; 0 for none
	Tried   []string      // starts of replicas that are not asked again
	Steps   float64       // of an engine until the next event of a stream; 0 where that isn't known
	Rank    float64       // 0 for the most urgent requests of the service, 1 for the least
}

// Own returns the tokens of the prompt that no other request shares.
func (req *Request) Own() int {
	return max(req.Prompt-req.Shared(), 0)
}

// Shared returns the tokens of the prompt's shared parts.
func (req *Request) Shared() int {
	n := 0
	for _, p := range req.Parts {
		n += p.Tokens
	}
	return n
}

// Subject returns the key by which requests with the same shared parts go to the
// same replicas.
func (req *Request) Subject() string {
	if n := len(req.Parts); n > 0 {
		return req.Parts[n-1].ID
	}
	return req.Key
}
