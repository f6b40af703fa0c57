package catalog

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// Key is the digest of a caller's credential. The credential itself is never stored, logged or
// sent.
type Key [keyBytes]byte

const keyBytes = 16 // makes collisions negligible

// KeyOf returns the key of a credential.
func KeyOf(credential string) Key {
	var buf [maxStackCredential]byte
	sum := sha256.Sum256(append(buf[:0], credential...))
	return Key(sum[:keyBytes])
}

const maxStackCredential = 128 // bytes up to which KeyOf doesn't allocate

// MarshalText encodes a key.
func (k Key) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, k[:]), nil
}

// UnmarshalText decodes a key.
func (k *Key) UnmarshalText(text []byte) error {
	data, err := base64.RawURLEncoding.AppendDecode(nil, text)
	if err != nil || len(data) != keyBytes {
		return errors.Newf("key of %d bytes is not valid", len(text))
	}
	*k = Key(data)
	return nil
}

// Unit is what a quota counts.
type Unit string

// Units of quotas.
const (
	Requests Unit = "requests"
	Tokens   Unit = "tokens" // of the prompt and the maximum of the answer
)

// Quota bounds the use by an organisation's requests over all boxes.
type Quota struct {
	PerSecond     float64 `json:"per_second,omitempty"` // units; 0 for no bound
	Burst         float64 `json:"burst,omitempty"`      // additional units
	Unit          Unit    `json:"unit,omitempty"`
	DefaultTokens float64 `json:"plain,omitempty"` // cost of a request without its own token count
}

// Bounded reports whether there is a bound.
func (q Quota) Bounded() bool { return q.PerSecond > 0 || q.Burst > 0 }

// Organisation is a customer whose callers authenticate with keys.
type Organisation struct {
	Name     string   `json:"name"`
	Keys     []Key    `json:"keys"`
	Priority int      `json:"priority"`        // 0 is the most urgent; takes precedence over a route's priority
	Homes    []string `json:"homes,omitempty"` // regions that its data may enter; empty for all
	Quota    Quota    `json:"quota"`
}

// UnmarshalJSON decodes and validates an organisation.
func (o *Organisation) UnmarshalJSON(data []byte) error {
	type plain Organisation
	var v plain
	if err := json.Unmarshal(data, &v); err != nil {
		return errors.Wrap(err, "organisation")
	}
	*o = Organisation(v)
	return o.check()
}

func (o *Organisation) check() error {
	switch {
	case o.Name == "" || len(o.Name) > maxNameBytes:
		return errors.Newf("organisation %.60q: a name of %d bytes", o.Name, len(o.Name))
	case !fitsHeader(o.Name):
		return errors.Newf("organisation %.60q: a name that no header can hold", o.Name)
	case !(o.Quota.PerSecond >= 0) || !(o.Quota.Burst >= 0) || !(o.Quota.DefaultTokens >= 0):
		return errors.Newf("organisation %q: a quota below zero", o.Name)
	case o.Quota.Unit != Requests && o.Quota.Unit != Tokens:
		return errors.Newf("organisation %q: unknown unit %q", o.Name, o.Quota.Unit)
	}
	return nil
}

const maxNameBytes = 200 // of an organisation

// fitsHeader reports whether a text can be a header value without encoding.
func fitsHeader(text string) bool {
	for i := range len(text) {
		if c := text[i]; c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

func (p *Policy) checkOrganisations() error {
	names := make(map[string]bool, len(p.Organisations))
	owners := make(map[Key]string, len(p.Organisations))
	for i := range p.Organisations {
		o := &p.Organisations[i]
		if err := o.check(); err != nil {
			return err
		}
		if names[o.Name] {
			return errors.Newf("organisation %q: stands twice", o.Name)
		}
		names[o.Name] = true
		for _, k := range o.Keys {
			if owner, taken := owners[k]; taken && owner != o.Name {
				return errors.Newf("organisation %q: has a key of organisation %q", o.Name, owner)
			}
			owners[k] = o.Name
		}
	}
	return nil
}

// Organisation returns the organisation that holds a key, nil for none.
func (t *Table) Organisation(k Key) *Organisation { return t.byKey[k] }

// OrganisationOf returns the organisation of a name, nil for none.
func (t *Table) OrganisationOf(name string) *Organisation { return t.byName[name] }

// Keyed reports whether requests need a key, except on public routes.
func (t *Table) Keyed() bool { return t.policy.Keyed }

// Quotas reports whether any organisation has a quota.
func (t *Table) Quotas() bool { return t.quotas }

// ForOrganisation returns the route for the requests of an organisation, nil for none: their
// data may enter only regions that both the route and the organisation allow.
func (r *Route) ForOrganisation(o *Organisation) *Route {
	if o == nil || len(o.Homes) == 0 {
		return r
	}
	out := *r
	out.Homes = o.Homes
	if len(r.Homes) > 0 {
		out.Homes = slices.DeleteFunc(slices.Clone(r.Homes), func(region string) bool { return !slices.Contains(o.Homes, region) })
	}
	out.NoRegion = r.NoRegion || len(out.Homes) == 0
	return &out
}
