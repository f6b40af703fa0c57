package node

import (
	"slices"

	"github.com/havenrudder/havenrudder/decision"
)

// watchDomains records failure domains of the region all of whose boxes became silent, and those
// that recovered. The directory returns no boxes of silent ones.
func (n *Node) watchDomains() {
	var was, silent []string
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		was = s.loggedSilent
		silent = s.roster.SilentDomains(n.now())
		s.loggedSilent = silent
	})
	n.recordDomains(difference(silent, was), decision.Lost)
	n.recordDomains(difference(was, silent), decision.Regained)
}

func (n *Node) recordDomains(list []string, kind decision.Kind) {
	for _, domain := range list {
		n.record(decision.Event{
			Kind:     kind,
			Upstream: domain,
			Reason:   "failure domain",
		})
	}
}

func difference(list, other []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(v string) bool { return slices.Contains(other, v) })
}
