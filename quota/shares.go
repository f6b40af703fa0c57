package quota

import (
	"math"
	"sync"
	"time"

	"github.com/havenrudder/havenrudder/common/decay"
)

// Shares divides quotas among regions by what callers ask for in each. It may be used by several
// goroutines.
type Shares struct {
	mu     sync.Mutex
	others []string // regions
	heard  map[string]word
	round  int                           // of words of all others that are heard
	agreed map[string]map[string]float64 // share of each other region by organisation, as of the last round in which all were heard
}

// word is what another region told last.
type word struct {
	at   time.Duration
	uses map[string]Use // by organisation
}

// Share is a region's share of a quota.
type Share struct {
	Of      float64 // of the quota
	InRest  float64 // of what stays with the regions that are heard, this one included
	Rest    float64 // of the quota that stays with them
	Heard   int     // other regions
	Granted float64 // units that these granted in a window
}

// NewShares returns the shares of a region among all, of which no other one was heard.
func NewShares(self string, regions []string) *Shares {
	s := &Shares{
		heard:  make(map[string]word),
		agreed: make(map[string]map[string]float64),
	}
	for _, region := range regions {
		if region != self {
			s.others = append(s.others, region)
		}
	}
	return s
}

// Others returns how many other regions there are.
func (s *Shares) Others() int { return len(s.others) }

// Hear takes in what callers of another region use, by a question that left at a time. The map is
// the shares' from then on.
func (s *Shares) Hear(region string, uses map[string]Use, left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[region] = word{
		at:   left,
		uses: uses,
	}
}

// EndRound takes in that all other regions were asked.
func (s *Shares) EndRound() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.round++
}

// Round returns the number of the last round.
func (s *Shares) Round() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.round
}

// Of returns the share of this region in a quota of so many units a second, where its callers ask
// for own of them. A region that isn't heard may be cut off and go on: its share stays as it was
// when all were heard last, an equal one where they never were, and the others divide the rest.
func (s *Shares) Of(organisation string, perSecond, own float64, now time.Duration) Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Share{
		Rest: 1,
	}
	sum := own
	for _, region := range s.others {
		if !s.hears(region, now) {
			out.Rest -= s.kept(organisation, region)
			continue
		}
		out.Heard++
		use := s.heard[region].uses[organisation]
		sum += use.Demand
		out.Granted += use.Granted
	}
	out.Rest = max(out.Rest, 0)
	out.InRest = shareOf(own, sum, out.Rest*perSecond, out.Heard+1)
	out.Of = out.Rest * out.InRest
	return out
}

// hears says whether a region told its demand of late.
func (s *Shares) hears(region string, now time.Duration) bool {
	w, ok := s.heard[region]
	return ok && now-w.at <= regionFor
}

// shareOf returns the share of a region that asks for own of the sum of so many regions: what it
// asks for and an equal part of what nobody does, so that few and long requests are let through
// wherever they come; where more is asked for than there is, a part by that, but for an equal one
// for callers that begin.
func shareOf(own, sum, perSecond float64, regions int) float64 {
	equal := 1 / float64(regions)
	spare := max(regionFloor, 1-sum/max(perSecond, 1))
	if sum <= 0 {
		return equal
	}
	return spare*equal + (1-spare)*own/sum
}

// Agree takes in that all other regions told their demand in one round, in which this one told
// its own: all come to the same shares of quotas, up to what changed within a round.
func (s *Shares) Agree(own map[string]Use, perSecond func(organisation string) float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sums := make(map[string]float64, len(own))
	for organisation, u := range own {
		sums[organisation] = u.Demand
	}
	for _, region := range s.others {
		for organisation, u := range s.heard[region].uses {
			sums[organisation] += u.Demand
		}
	}
	clear(s.agreed)
	for organisation, sum := range sums {
		list := make(map[string]float64, len(s.others))
		for _, region := range s.others {
			list[region] = shareOf(s.heard[region].uses[organisation].Demand, sum, perSecond(organisation), len(s.others)+1)
		}
		s.agreed[organisation] = list
	}
}

// kept returns the share that stays with a region which isn't heard.
func (s *Shares) kept(organisation, region string) float64 {
	if share, ok := s.agreed[organisation][region]; ok {
		return share
	}
	return 1 / float64(len(s.others)+1)
}

// perSecond returns the rate of what was counted.
func perSecond(n *decay.Count, now time.Duration) float64 {
	return n.At(now, demandHalf) * math.Ln2 / demandHalf.Seconds()
}
