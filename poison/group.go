package poison

import "github.com/havenrudder/havenrudder/common/rendezvous"

const owners = 3 // boxes that add the ends of a request up; two of them may be lost

// group is the boxes that are alive at one moment.
type group struct {
	self   string
	others []Box
	names  []string // of all, this one too
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

// ownersOf returns the other boxes that own a request, and this one's rank among the owners;
// theirs number where it is none.
func (g *group) ownersOf(d Digest) (rank int, others []Box) {
	rank = owners
	for i, name := range rendezvous.Top(string(d[:]), g.names, owners) {
		if name == g.self {
			rank = i
			continue
		}
		others = append(others, g.byName[name])
	}
	return rank, others
}
