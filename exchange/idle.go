package exchange

// CloseIdle closes the idle connections to addr. Use it when the server has restarted:
// a request on an old connection would be reset after it was sent, and could not be
// retried safely.
func (p *Pool) CloseIdle(addr string) {
	for _, c := range p.takeIdle(addr) {
		c.close()
	}
}

func (p *Pool) takeIdle(addr string) []*conn {
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
