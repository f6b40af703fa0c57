package decision

import "slices"

// Count is how many lines of one kind were dropped.
type Count struct {
	Kind  Kind  `json:"kind"`
	Lines int64 `json:"lines"`
}

// tally holds numbers of lines by the position of their kind in kinds. The last
// one is for unknown kinds.
type tally [len(kinds) + 1]int64

// add counts one line of kind k.
func (t *tally) add(k Kind) {
	n := slices.Index(kinds[:], k)
	if n < 0 {
		n = len(kinds)
	}
	t[n]++
}

// since lists by how much t has grown over before.
func (t tally) since(before tally) []Count {
	var out []Count
	for n := range t {
		more := t[n] - before[n]
		if more == 0 {
			continue
		}
		count := Count{
			Lines: more,
		}
		if n < len(kinds) {
			count.Kind = kinds[n]
		}
		out = append(out, count)
	}
	return out
}
