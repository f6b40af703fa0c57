package catalog

// This file says how a box tells another one of a policy: by what differs from one that
// the other knows, and compressed.

import (
	"encoding/json"
	"reflect"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// PolicyNews is what one box tells another that asks for the newest policy.
type PolicyNews struct {
	Version    int    `json:"version"`              // of the newest that the box has
	Wait       Millis `json:"wait_ms,omitempty"`    // until the box may send it, which others may do sooner
	Compressed []byte `json:"compressed,omitempty"` // the Delta, as JSON, compressed
}

// Delta is a policy as what differs from an earlier one.
type Delta struct {
	From          int                  `json:"from"` // version of the earlier one; 0 for none
	Version       int                  `json:"version"`
	Routes        []Span[Route]        `json:"routes"`
	Services      []Service            `json:"services"`
	Limits        Limits               `json:"limits"`
	Keyed         bool                 `json:"keyed,omitempty"`
	Organisations []Span[Organisation] `json:"organisations,omitempty"`
	Sum           uint64               `json:"sum"` // of the whole policy
}

// Span is a part of a list: items of the earlier list, or new ones.
type Span[T any] struct {
	At    int `json:"at,omitempty"` // in the earlier list
	Count int `json:"count,omitempty"`
	New   []T `json:"new,omitempty"`
}

// routeKey tells the routes of a policy apart.
type routeKey struct {
	name   string
	host   string
	prefix string
}

func (r *Route) key() routeKey {
	return routeKey{
		name:   r.Name,
		host:   r.Host,
		prefix: r.Prefix,
	}
}

// DeltaOf returns what differs between an earlier policy, nil for none, and a later one.
func DeltaOf(earlier, later *Policy) (Delta, error) {
	out := Delta{
		Version:  later.Version,
		Services: later.Services,
		Limits:   later.Limits,
		Keyed:    later.Keyed,
	}
	var err error
	if out.Sum, err = later.checksum(); err != nil {
		return out, err
	}
	known := &Policy{}
	if earlier != nil {
		out.From = earlier.Version
		known = earlier
	}
	out.Routes = spans(known.Routes, later.Routes, (*Route).key)
	out.Organisations = spans(known.Organisations, later.Organisations, func(o *Organisation) string { return o.Name })
	return out, nil
}

// spans returns a later list as what differs from an earlier one, whose items have a key.
func spans[T any, K comparable](earlier, later []T, key func(*T) K) (out []Span[T]) {
	at := make(map[K]int, len(earlier))
	for i := range earlier {
		at[key(&earlier[i])] = i
	}
	for i := range later {
		item := &later[i]
		if n, ok := at[key(item)]; ok && reflect.DeepEqual(earlier[n], *item) {
			out = appendExisting(out, n)
		} else {
			out = appendNew(out, *item)
		}
	}
	return out
}

// keep adds an item of the earlier list.
func appendExisting[T any](list []Span[T], at int) []Span[T] {
	if n := len(list) - 1; n >= 0 && list[n].Count > 0 && list[n].At+list[n].Count == at {
		list[n].Count++
		return list
	}
	return append(list, Span[T]{
		At:    at,
		Count: 1,
	})
}

// add adds an item that the earlier list lacks.
func appendNew[T any](list []Span[T], item T) []Span[T] {
	if n := len(list) - 1; n < 0 || list[n].Count > 0 {
		list = append(list, Span[T]{})
	}
	last := &list[len(list)-1]
	last.New = append(last.New, item)
	return list
}

// Apply returns the later policy. It fails when the earlier one isn't what the
// delta was made from.
func (a Delta) Apply(earlier *Policy) (*Policy, error) {
	known := &Policy{}
	if a.From > 0 {
		if earlier == nil || earlier.Version != a.From {
			return nil, errors.Newf("delta of policy %d, which isn't known", a.From)
		}
		known = earlier
	}
	out := &Policy{
		Version:  a.Version,
		Services: a.Services,
		Limits:   a.Limits,
		Keyed:    a.Keyed,
	}
	var err error
	if out.Routes, err = applySpans(known.Routes, a.Routes); err != nil {
		return nil, errors.Wrapf(err, "delta of policy %d: routes", a.From)
	}
	if out.Organisations, err = applySpans(known.Organisations, a.Organisations); err != nil {
		return nil, errors.Wrapf(err, "delta of policy %d: organisations", a.From)
	}
	checksum, err := out.checksum()
	if err != nil {
		return nil, err
	}
	if checksum != a.Sum {
		return nil, errors.Newf("delta of policy %d to %d: another sum", a.From, a.Version)
	}
	return out, out.Check()
}

// joined returns the later list.
func applySpans[T any](earlier []T, list []Span[T]) (out []T, err error) {
	for _, s := range list {
		if s.At < 0 || s.Count < 0 || s.Count > len(earlier) || s.At > len(earlier)-s.Count {
			return nil, errors.Newf("none from %d to %d", s.At, s.At+s.Count)
		}
		out = append(out, earlier[s.At:s.At+s.Count]...)
		out = append(out, s.New...)
	}
	return out, nil
}

// sum returns a sum of all that a policy says.
func (p *Policy) checksum() (uint64, error) {
	h := xxhash.New()
	err := json.NewEncoder(h).Encode(struct {
		Routes   []Route
		Services []Service
		Limits   Limits
		Version  int

		Keyed         bool           `json:",omitempty"` // boxes of a version without keys come to the same sum
		Organisations []Organisation `json:",omitempty"`
	}{
		Routes:        nilIfEmpty(p.Routes),
		Services:      nilIfEmpty(p.Services),
		Limits:        p.Limits,
		Version:       p.Version,
		Keyed:         p.Keyed,
		Organisations: p.Organisations,
	})
	return h.Sum64(), errors.Wrap(err, "policy")
}

// orNone returns a list, nil for an empty one, which is encoded otherwise.
func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// Delta returns what the news say of the policy.
func (n PolicyNews) Delta() (out Delta, err error) {
	err = decompress(n.Compressed, &out)
	return out, errors.Wrap(err, "delta")
}

// Deltas makes the deltas that lead to the newest policy, each once.
type Deltas struct {
	mu         sync.Mutex
	version    int            // of the newest policy
	compressed map[int][]byte // by the version from which they lead
}

// NewDeltas returns deltas of which none is made.
func NewDeltas() *Deltas { return &Deltas{} }

// Compressed returns the delta that leads to the last of some policies from one of a
// version, or from none if it isn't among them. Who asks at the same time gets the same
// bytes.
func (a *Deltas) Compressed(policies []*Policy, from int) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	newest := policies[len(policies)-1]
	if a.version != newest.Version {
		a.version = newest.Version
		a.compressed = make(map[int][]byte)
	}
	var earlier *Policy
	for _, p := range policies {
		if p.Version == from {
			earlier = p
		}
	}
	if earlier == nil {
		from = 0
	}
	if out, ok := a.compressed[from]; ok {
		return out, nil
	}
	delta, err := DeltaOf(earlier, newest)
	if err != nil {
		return nil, err
	}
	out, err := compress(delta)
	if err == nil {
		a.compressed[from] = out
	}
	return out, err
}
