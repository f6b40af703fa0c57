package bundle

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// Outcome is what came of offering a head.
type Outcome int

// Outcomes of an offer.
const (
	Taken   Outcome = iota // the version is in force
	Old     Outcome = iota // not above the version in force or below the floor
	Refused Outcome = iota // signature, hash or content does not hold
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"taken", "old", "refused"}[o]
}

// Store holds the version in force and the floor below which none is taken.
// It belongs to one actor and is not safe for others.
type Store struct {
	keys   *Keys
	now    func() time.Time
	head   wire.Head
	policy *Policy
	nodes  Nodes
	before superseded
	floor  int
}

// superseded is the version that was in force before, kept to tell what is new.
type superseded struct {
	version int
	nodes   Nodes
}

// NewStore returns an empty store that trusts keys.
func NewStore(keys *Keys, now func() time.Time) *Store {
	return &Store{
		keys: keys,
		now:  now,
	}
}

// Head returns the head in force; its version is 0 before the first.
func (s *Store) Head() wire.Head { return s.head }

// Policy returns the policy in force, nil before the first.
func (s *Store) Policy() *Policy { return s.policy }

// Floor returns the lowest version the store still takes.
func (s *Store) Floor() int { return s.floor }

// Raise lifts the floor to version; it never falls.
func (s *Store) Raise(version int) { s.floor = max(s.floor, version) }

// Behind says whether a version above the one in force is known to exist.
func (s *Store) Behind() bool { return s.head.Version < s.floor }

// Wants says whether h is worth fetching: signed, and above what is in force.
func (s *Store) Wants(h wire.Head) Outcome {
	if h.Version <= s.head.Version || h.Version < s.floor {
		return Old
	}
	if s.keys.Verify(h, s.now()) != nil {
		return Refused
	}
	return Taken
}

// Node returns the bytes of a node of the version in force.
func (s *Store) Node(h Hash) ([]byte, bool) {
	n, ok := s.nodes[h]
	return n.data, ok
}

// Nodes returns the nodes of the version in force; the map is never changed
// once it is in force.
func (s *Store) Nodes() Nodes { return s.nodes }

// Take puts h in force with the bundle joined from its nodes.
func (s *Store) Take(h wire.Head, b wire.Bundle, nodes Nodes) Outcome {
	if o := s.Wants(h); o != Taken {
		return o
	}
	if b.Version != h.Version || Check(b) != nil {
		return Refused
	}
	s.before = superseded{
		version: s.head.Version,
		nodes:   s.nodes,
	}
	s.head = h
	s.policy = NewPolicy(b)
	s.nodes = nodes
	s.Raise(h.Version)
	return Taken
}

// New returns the nodes in force that a box with the version have lacks, nil when
// that is not known. Boxes are mostly one version behind when they ask.
func (s *Store) New(have int) []Node {
	if have == 0 || have != s.before.version {
		return nil
	}
	var out []Node
	for h, n := range s.nodes {
		if _, ok := s.before.nodes[h]; !ok {
			out = append(out, n)
		}
	}
	return out
}
