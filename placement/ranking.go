package placement

import (
	"cmp"
	"slices"
)

// ranking holds the replicas with the highest scores.
type ranking[S cmp.Ordered] struct {
	best []ranked[S] // highest first
	most int
}

type ranked[S cmp.Ordered] struct {
	r     *Replica
	score S
}

// newRanking returns a ranking of up to n replicas.
func newRanking[S cmp.Ordered](n int) *ranking[S] {
	return &ranking[S]{
		best: make([]ranked[S], 0, n+1),
		most: n,
	}
}

// add adds a replica. Of equal scores the one added first comes first.
func (k *ranking[S]) add(r *Replica, score S) {
	at := len(k.best)
	for at > 0 && k.best[at-1].score < score {
		at--
	}
	if at >= k.most {
		return
	}
	added := ranked[S]{
		r:     r,
		score: score,
	}
	k.best = slices.Insert(k.best, at, added)[:min(len(k.best)+1, k.most)]
}

// replicas returns the replicas, that with the highest score first.
func (k *ranking[S]) replicas() []*Replica {
	out := make([]*Replica, 0, len(k.best))
	for _, s := range k.best {
		out = append(out, s.r)
	}
	return out
}
