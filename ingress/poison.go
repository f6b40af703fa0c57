package ingress

import "github.com/havenrudder/havenrudder/poison"

// digest returns the digest of what the request asks.
func (c *call) digest() poison.Digest {
	if c.asks != nil {
		return *c.asks
	}
	content := poison.Content{
		Method: c.r.Method,
		Host:   c.r.Host,
		Target: c.r.RequestURI,
		Caller: c.facts.Caller,
		Body:   c.body,
	}
	d := content.Digest()
	c.asks = &d
	return d
}
