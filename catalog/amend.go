package catalog

// This file says how a box tells another one of a policy: by what differs from one that
// the other knows, and pressed.

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"reflect"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// mostPressed bounds what an answer may grow to: more than the 1 MB that a published
// value may have.
const mostPressed = 8 << 20

// PolicyNews is what one box tells another that asks for the newest policy.
type PolicyNews struct {
	Version int    `json:"version"`           // of the newest that the box has
	Wait    Millis `json:"wait_ms,omitempty"` // until the box may send it, which others may do sooner
	Pressed []byte `json:"pressed,omitempty"` // the Amendment, as JSON, pressed
}

// Amendment is a policy as what differs from an earlier one.
type Amendment struct {
	From     int       `json:"from"` // version of the earlier one; 0 for none
	Version  int       `json:"version"`
	Routes   []Run     `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Sum      uint64    `json:"sum"` // of the whole policy
}

// Run is a part of a list of routes: routes of the earlier list, or new ones.
type Run struct {
	At    int     `json:"at,omitempty"` // in the earlier list
	Count int     `json:"count,omitempty"`
	New   []Route `json:"new,omitempty"`
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

// Amend returns what differs between an earlier policy, nil for none, and a later one.
func Amend(earlier, later *Policy) (Amendment, error) {
	out := Amendment{
		Version:  later.Version,
		Services: later.Services,
		Limits:   later.Limits,
	}
	var err error
	if out.Sum, err = later.sum(); err != nil {
		return out, err
	}
	var known []Route
	if earlier != nil {
		out.From = earlier.Version
		known = earlier.Routes
	}
	at := make(map[routeKey]int, len(known))
	for i := range known {
		at[known[i].key()] = i
	}
	for i := range later.Routes {
		r := &later.Routes[i]
		if n, ok := at[r.key()]; ok && reflect.DeepEqual(known[n], *r) {
			out.keep(n)
		} else {
			out.add(*r)
		}
	}
	return out, nil
}

// keep adds a route of the earlier list.
func (a *Amendment) keep(at int) {
	if n := len(a.Routes) - 1; n >= 0 && a.Routes[n].Count > 0 && a.Routes[n].At+a.Routes[n].Count == at {
		a.Routes[n].Count++
		return
	}
	a.Routes = append(a.Routes, Run{
		At:    at,
		Count: 1,
	})
}

// add adds a route that the earlier list lacks.
func (a *Amendment) add(r Route) {
	if n := len(a.Routes) - 1; n < 0 || a.Routes[n].Count > 0 {
		a.Routes = append(a.Routes, Run{})
	}
	last := &a.Routes[len(a.Routes)-1]
	last.New = append(last.New, r)
}

// Apply returns the later policy. It fails when the earlier one isn't what the
// amendment was made from.
func (a Amendment) Apply(earlier *Policy) (*Policy, error) {
	var known []Route
	if a.From > 0 {
		if earlier == nil || earlier.Version != a.From {
			return nil, errors.Newf("amendment of policy %d, which isn't known", a.From)
		}
		known = earlier.Routes
	}
	out := &Policy{
		Version:  a.Version,
		Services: a.Services,
		Limits:   a.Limits,
	}
	for _, r := range a.Routes {
		if r.At < 0 || r.Count < 0 || r.Count > len(known) || r.At > len(known)-r.Count {
			return nil, errors.Newf("amendment of policy %d: no routes %d to %d", a.From, r.At, r.At+r.Count)
		}
		out.Routes = append(out.Routes, known[r.At:r.At+r.Count]...)
		out.Routes = append(out.Routes, r.New...)
	}
	sum, err := out.sum()
	if err != nil {
		return nil, err
	}
	if sum != a.Sum {
		return nil, errors.Newf("amendment of policy %d to %d: another sum", a.From, a.Version)
	}
	return out, out.Check()
}

// sum returns a sum of all that a policy says.
func (p *Policy) sum() (uint64, error) {
	h := xxhash.New()
	err := json.NewEncoder(h).Encode(struct {
		Routes   []Route
		Services []Service
		Limits   Limits
		Version  int
	}{
		Routes:   orNone(p.Routes),
		Services: orNone(p.Services),
		Limits:   p.Limits,
		Version:  p.Version,
	})
	return h.Sum64(), errors.Wrap(err, "policy")
}

// orNone returns a list, nil for an empty one, which is encoded otherwise.
func orNone[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// press returns an amendment as it is sent.
func (a Amendment) press() ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "amendment")
	}
	if err := json.NewEncoder(w).Encode(a); err != nil {
		return nil, errors.Wrap(err, "amendment")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "amendment")
	}
	return out.Bytes(), nil
}

// Amendment returns what the news say of the policy.
func (n PolicyNews) Amendment() (out Amendment, err error) {
	r := flate.NewReader(bytes.NewReader(n.Pressed))
	defer func() { _ = r.Close() }()
	err = json.NewDecoder(io.LimitReader(r, mostPressed)).Decode(&out)
	return out, errors.Wrap(err, "amendment")
}

// Amendments makes the amendments that lead to the newest policy, each once.
type Amendments struct {
	mu      sync.Mutex
	version int            // of the newest policy
	pressed map[int][]byte // by the version from which they lead
}

// NewAmendments returns amendments of which none is made.
func NewAmendments() *Amendments { return &Amendments{} }

// Pressed returns the amendment that leads to the last of some policies from one of a
// version, or from none if it isn't among them. Who asks at the same time gets the same
// bytes.
func (a *Amendments) Pressed(policies []*Policy, from int) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	newest := policies[len(policies)-1]
	if a.version != newest.Version {
		a.version = newest.Version
		a.pressed = make(map[int][]byte)
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
	if out, ok := a.pressed[from]; ok {
		return out, nil
	}
	amendment, err := Amend(earlier, newest)
	if err != nil {
		return nil, err
	}
	out, err := amendment.press()
	if err == nil {
		a.pressed[from] = out
	}
	return out, err
}
