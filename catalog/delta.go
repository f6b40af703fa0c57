package catalog

import (
	"encoding/json"
	"reflect"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// PolicyResponse is the answer to a box that asks for the newest policy.
type PolicyResponse struct {
	Version    int    `json:"version"`              // of the sender's newest policy
	RetryAfter Millis `json:"wait_ms,omitempty"`    // until the sender is below its rate limit, if it can't answer now
	Compressed []byte `json:"compressed,omitempty"` // the Delta as compressed JSON
}

// Delta is the difference between two policies.
type Delta struct {
	From          int                  `json:"from"` // version of the earlier policy; 0 for none
	Version       int                  `json:"version"`
	Routes        []Span[Route]        `json:"routes"`
	Services      []Service            `json:"services"`
	Limits        Limits               `json:"limits"`
	Keyed         bool                 `json:"keyed,omitempty"`
	Organisations []Span[Organisation] `json:"organisations,omitempty"`
	Checksum      uint64               `json:"sum"` // checksum of the later policy
}

// Span is a run of items of the earlier list, or of new ones.
type Span[T any] struct {
	At    int `json:"at,omitempty"` // in the earlier list
	Count int `json:"count,omitempty"`
	New   []T `json:"new,omitempty"`
}

// routeKey identifies a route within a policy.
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

// DeltaOf returns the difference between an earlier policy, nil for none, and a later one.
func DeltaOf(earlier, later *Policy) (Delta, error) {
	out := Delta{
		Version:  later.Version,
		Services: later.Services,
		Limits:   later.Limits,
		Keyed:    later.Keyed,
	}
	var err error
	if out.Checksum, err = later.checksum(); err != nil {
		return out, err
	}
	base := &Policy{}
	if earlier != nil {
		out.From = earlier.Version
		base = earlier
	}
	out.Routes = spans(base.Routes, later.Routes, (*Route).key)
	out.Organisations = spans(base.Organisations, later.Organisations, func(o *Organisation) string { return o.Name })
	return out, nil
}

// spans returns the difference between two lists whose items have keys.
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

func appendNew[T any](list []Span[T], item T) []Span[T] {
	if n := len(list) - 1; n < 0 || list[n].Count > 0 {
		list = append(list, Span[T]{})
	}
	last := &list[len(list)-1]
	last.New = append(last.New, item)
	return list
}

// Apply returns the later policy. It fails if the earlier one is not the base of the delta.
func (a Delta) Apply(earlier *Policy) (*Policy, error) {
	base := &Policy{}
	if a.From > 0 {
		if earlier == nil || earlier.Version != a.From {
			return nil, errors.Newf("delta from policy %d: that version is not recorded", a.From)
		}
		base = earlier
	}
	out := &Policy{
		Version:  a.Version,
		Services: a.Services,
		Limits:   a.Limits,
		Keyed:    a.Keyed,
	}
	var err error
	if out.Routes, err = applySpans(base.Routes, a.Routes); err != nil {
		return nil, errors.Wrapf(err, "delta from policy %d: routes", a.From)
	}
	if out.Organisations, err = applySpans(base.Organisations, a.Organisations); err != nil {
		return nil, errors.Wrapf(err, "delta from policy %d: organisations", a.From)
	}
	checksum, err := out.checksum()
	if err != nil {
		return nil, err
	}
	if checksum != a.Checksum {
		return nil, errors.Newf("delta from policy %d to %d: checksum mismatch", a.From, a.Version)
	}
	return out, out.Check()
}

func applySpans[T any](earlier []T, list []Span[T]) (out []T, err error) {
	for _, s := range list {
		if s.At < 0 || s.Count < 0 || s.Count > len(earlier) || s.At > len(earlier)-s.Count {
			return nil, errors.Newf("items %d to %d out of range", s.At, s.At+s.Count)
		}
		out = append(out, earlier[s.At:s.At+s.Count]...)
		out = append(out, s.New...)
	}
	return out, nil
}

func (p *Policy) checksum() (uint64, error) {
	h := xxhash.New()
	err := json.NewEncoder(h).Encode(struct {
		Routes   []Route
		Services []Service
		Limits   Limits
		Version  int

		Keyed         bool           `json:",omitempty"` // omitted if unset, so that boxes without support for keys compute the same checksum
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

// nilIfEmpty returns nil for an empty list, which JSON encodes differently.
func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// Delta returns the decompressed delta.
func (n PolicyResponse) Delta() (out Delta, err error) {
	err = decompress(n.Compressed, &out)
	return out, errors.Wrap(err, "delta")
}

// Deltas caches the compressed deltas that lead to the newest policy.
type Deltas struct {
	mu         sync.Mutex
	version    int            // of the newest policy
	compressed map[int][]byte // by the version of the earlier policy
}

// NewDeltas returns an empty cache.
func NewDeltas() *Deltas { return &Deltas{} }

// Compressed returns the delta from a version to the last of the policies, or from no policy
// if the version is not among them. Concurrent callers get the same bytes.
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
