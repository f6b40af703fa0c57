// Package rendezvous ranks names for a key by highest random weight, so that
// boxes with the same view agree without talking, and one name more or less
// moves only its own share of keys.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of name for key.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Weighted returns the weight of name for key where names get keys in proportion
// to their shares; 0 for a name without a share.
func Weighted(key, name string, share float64) float64 {
	if share <= 0 {
		return 0
	}
	u := (float64(Score(key, name)>>11) + 0.5) / (1 << 53) // above 0 and below 1
	return -share / math.Log(u)
}

// scored is a name with its weight.
type scored struct {
	name  string
	score uint64
}

// before orders by weight, highest first.
func (a scored) before(b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}

// Rank returns names ordered by their weight for key, highest first. The
// argument is left as it is.
func Rank(key string, names []string) []string { return Top(key, names, len(names)) }

// Top returns the first n names of Rank, or all where there are fewer.
func Top(key string, names []string, n int) []string {
	n = min(n, len(names))
	best := make([]scored, 0, n)
	for _, name := range names {
		s := scored{
			name:  name,
			score: Score(key, name),
		}
		at, _ := slices.BinarySearchFunc(best, s, scored.before)
		if at >= n {
			continue
		}
		best = slices.Insert(best[:min(len(best), n-1)], at, s)
	}
	out := make([]string, 0, n)
	for _, s := range best {
		out = append(out, s.name)
	}
	return out
}
