package poison

import "github.com/havenrudder/havenrudder/common/rendezvous"

const ownersPerRequest = 3 // boxes that count the crashes of a request; tolerates the loss of two

// group is a snapshot of the boxes that are alive.
type group struct {
	self   string
	others []Box
	names  []string // of all boxes, including self
	byName map[string]Box
}

func newGroup(self string, others []Box) *group {
	g := &group{
		self:   self,
		others: others,
		names:  []string{self},
		byName: make(map[string]Box),
	}
	for _, b := range others {
		g.names = append(g.names, b.Name)
		g.byName[b.Name] = b
	}
	return g
}

// ownersOf returns the other boxes that own a request, and the rank of this box among the
// owners, or their number if it isn't one.
func (g *group) ownersOf(d Digest) (rank int, others []Box) {
	rank = ownersPerRequest
	for i, name := range rendezvous.Top(string(d[:]), g.names, ownersPerRequest) {
		if name == g.self {
			rank = i
			continue
		}
		others = append(others, g.byName[name])
	}
	return rank, others
}
