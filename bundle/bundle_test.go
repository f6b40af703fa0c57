package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/examples"
	_ "github.com/havenrudder/havenrudder/internal/fixed"
	"github.com/havenrudder/havenrudder/wire"
)

func privateKey(seed string) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed([]byte(strings.Repeat(seed, ed25519.SeedSize)))
}

func publicKey(id string, private ed25519.PrivateKey, notAfter string) wire.PublicKey {
	return wire.PublicKey{
		ID:       id,
		Public:   base64.StdEncoding.EncodeToString(private.Public().(ed25519.PublicKey)),
		NotAfter: notAfter,
	}
}

func makeBundle(orgs int) wire.Bundle {
	b := wire.Bundle{
		Version: 1,
		Regions: []wire.Region{{
			Name:           "r",
			FailureDomains: []string{"d"},
		}},
		Services: []wire.Service{{
			Name:    "s",
			Kind:    wire.ServiceKindPlain,
			Regions: []string{"r"},
		}},
		Priorities: []wire.Priority{{
			Name: "p",
		}},
	}
	for i := range orgs {
		b.Organisations = append(b.Organisations, wire.Organisation{
			Name:     fmt.Sprintf("o%04d", i),
			Home:     "r",
			Regions:  []string{"r"},
			Priority: "p",
			Share:    1,
		})
	}
	return b
}

func held(n Nodes) Fetch {
	return func(h Hash) ([]byte, error) {
		node, ok := n[h]
		if !ok {
			return nil, errors.New("not held")
		}
		return node.Data(), nil
	}
}

func ExampleParse() {
	_, err := Parse("shop.jsonc", []byte(`{
  "version": 1,
  "regions": [{"name": "north", "failure_domains": ["n1"]}],
  "services": [{"name": "orders", "kind": "plain", "regions": ["south"]}],
  "priorities": [{"name": "all", "rank": 0}],
  "organisations": [
    {"name": "shop", "home": "north", "regions": ["north"], "priority": "every"},
  ],
}`))
	fmt.Println(err)
	// Output:
	// shop.jsonc:4: /services/0/regions/0: no region "south", want one of [north]
	// shop.jsonc:7: /organisations/0/regions: service "orders" can't be reached: it is served in [south] only
	// shop.jsonc:7: /organisations/0/priority: no priority "every"
}

func ExampleDiff() {
	before := makeBundle(1)
	after := makeBundle(1)
	after.Version = 2
	after.Organisations[0].Regions = []string{"r", "abroad"}
	after.Organisations[0].Share = 0.5
	for _, line := range Diff(before, after) {
		fmt.Println(line)
	}
	// Output:
	// RESIDENCY WIDENS: data of o0000 may now enter abroad
	// share of o0000 changes from 1 to 0.5
}

func TestTheExamplesAreWhole(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"lavallee", "kallioniemi"} {
		data, err := examples.Files.ReadFile(name + "/bundle.jsonc")
		is.NoErr(err)
		_, err = Parse(name, data)
		is.NoErr(err)
	}
}

func TestATreeGivesBackTheBundleAndAChangeCostsItsPathOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 700).Draw(t, "organisations")
		b := makeBundle(n)
		root, nodes, err := Split(b)
		if err != nil {
			t.Fatal(err)
		}
		joined, _, err := Join(1, root, nil, held(nodes))
		if err != nil || fmt.Sprint(joined.Organisations) != fmt.Sprint(b.Organisations) || joined.Services[0].Name != "s" {
			t.Fatalf("another bundle came back: %v", err)
		}
		b.Organisations[rapid.IntRange(0, n-1).Draw(t, "changed")].Share = 0.5
		root, after, err := Split(b)
		if err != nil {
			t.Fatal(err)
		}
		fetched := 0
		_, _, err = Join(2, root, nodes, func(h Hash) ([]byte, error) {
			fetched++
			return after[h].Data(), nil
		})
		if err != nil || fetched != 3 {
			t.Fatalf("%d nodes fetched, %v", fetched, err)
		}
	})
}

func TestBytesOfAnotherHashAreRefused(t *testing.T) {
	is := is.New(t)
	root, nodes, err := Split(makeBundle(3))
	is.NoErr(err)
	_, _, err = Join(1, root, nil, func(h Hash) ([]byte, error) {
		return append(nodes[h].Data(), ' '), nil
	})
	is.True(err != nil)
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	old, now := privateKey("o"), privateKey("n")
	keys, err := NewKeys([]wire.PublicKey{
		publicKey("old", old, "2026-01-01T00:00:00Z"),
		publicKey("new", now, ""),
	})
	is.NoErr(err)
	before := time.Date(2025, 12, 31, 0, 0, 0, 0, time.UTC)
	after := time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)
	is.NoErr(keys.Verify(Sign(1, "root", "old", old), before))
	is.True(errors.Is(keys.Verify(Sign(1, "root", "old", old), after), ErrUnknownKey)) // rotated out
	is.NoErr(keys.Verify(Sign(1, "root", "new", now), after))
	is.True(errors.Is(keys.Verify(Sign(1, "root", "new", old), after), ErrBadSignature))
	forged := Sign(1, "root", "new", now)
	forged.Version = 2
	is.True(errors.Is(keys.Verify(forged, after), ErrBadSignature))
}

// TestAStoreNeverReverts offers heads in any order, signed and not, with floors
// raised between, and holds the store against the highest it should have taken.
func TestAStoreNeverReverts(t *testing.T) {
	private := privateKey("k")
	keys, err := NewKeys([]wire.PublicKey{publicKey("k", private, "")})
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore(keys, time.Now)
		inForce := 0
		floor := 0
		version := rapid.IntRange(1, 9)
		t.Repeat(map[string]func(*rapid.T){
			"raise": func(t *rapid.T) {
				v := version.Draw(t, "version")
				s.Raise(v)
				floor = max(floor, v)
			},
			"take": func(t *rapid.T) {
				b := makeBundle(2)
				b.Version = version.Draw(t, "version")
				root, nodes, err := Split(b)
				if err != nil {
					t.Fatal(err)
				}
				h := Sign(b.Version, root, "k", private)
				forged := rapid.Bool().Draw(t, "forged")
				if forged {
					h.Root += "x"
				}
				outcome := s.Take(h, b, nodes)
				want := Taken
				switch {
				case b.Version <= inForce || b.Version < floor:
					want = Old
				case forged:
					want = Refused
				}
				if outcome != want {
					t.Fatalf("version %d over %d, floor %d: %s, want %s", b.Version, inForce, floor, outcome, want)
				}
				if want == Taken {
					inForce = b.Version
					floor = max(floor, inForce)
				}
			},
			"": func(t *rapid.T) {
				if s.Head().Version != inForce || s.Floor() != floor || s.Behind() != (inForce < floor) {
					t.Fatalf("version %d, floor %d, want %d, %d", s.Head().Version, s.Floor(), inForce, floor)
				}
			},
		})
	})
}

func FuzzParse(f *testing.F) {
	data, err := examples.Files.ReadFile("lavallee/bundle.jsonc")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"version": 1, "regions": [{}], /* */ }`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Parse("fuzz", data)
		if err == nil && Check(b) != nil {
			t.Fatal("half accepted")
		}
	})
}
