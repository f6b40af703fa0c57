package node

import (
	"slices"

	"github.com/havenrudder/havenrudder/decision"
)

// watchDomains writes down which failure domains of the region fell silent as a whole, and
// which were heard again: callers aren't named boxes of the former.
func (n *Node) watchDomains() {
	var was, silent []string
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		was = s.silent
		silent = s.roster.SilentDomains(n.now())
		s.silent = silent
	})
	n.recordDomains(without(silent, was), decision.Lost)
	n.recordDomains(without(was, silent), decision.Regained)
}

// recordDomains writes down what became of failure domains.
func (n *Node) recordDomains(list []string, kind decision.Kind) {
	for _, domain := range list {
		n.record(decision.Event{
			Kind:     kind,
			Upstream: domain,
			Reason:   "failure domain",
		})
	}
}

// without returns what one list has and another one lacks.
func without(list, other []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(v string) bool { return slices.Contains(other, v) })
}
