package exchange

// CloseResting closes the connections to addr that carry no request. Use it when the
// process there is known to be another one than before: a request on a connection to the
// old one is reset after it was sent, and may then not be sent again.
func (p *Pool) CloseResting(addr string) {
	for _, c := range p.takeResting(addr) {
		c.close()
	}
}

// takeResting takes the connections to addr that carry no request out of use.
func (p *Pool) takeResting(addr string) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.addrs[addr]
	if m == nil {
		return nil
	}
	out := m.idle
	m.idle = nil
	return out
}
