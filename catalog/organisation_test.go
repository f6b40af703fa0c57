package catalog

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// manyOrganisations returns n organisations with four keys each.
func manyOrganisations(n int) (out []Organisation) {
	for o := range n {
		org := Organisation{
			Name:     fmt.Sprintf("org-%03d", o),
			Priority: o % 3,
			Quota: Quota{
				PerSecond: 1000,
				Unit:      Tokens,
			},
		}
		for k := range 4 {
			org.Keys = append(org.Keys, KeyOf(fmt.Sprintf("a-credential-of-20-%d-%d", o, k)))
		}
		out = append(out, org)
	}
	return out
}

func TestAKeySurvivesItsText(t *testing.T) {
	is := is.New(t)
	k := KeyOf("jbvk9m68k7b2ex5wa5xw")
	data, err := json.Marshal(k)
	is.NoErr(err)
	var back Key
	is.NoErr(json.Unmarshal(data, &back))
	is.Equal(back, k)
	is.True(json.Unmarshal([]byte(`"AAAA"`), &back) != nil)
}

func TestAnErrorAmongAThousandOrganisationsNamesTheEntry(t *testing.T) {
	is := is.New(t)
	p := Policy{
		Version:       1,
		Organisations: manyOrganisations(1000),
	}
	is.NoErr(p.Check())
	p.Organisations[700].Keys = append(p.Organisations[700].Keys, p.Organisations[3].Keys[1])
	is.Equal(p.Check().Error(), `policy: organisation "org-700": has a key of organisation "org-003"`)
}

// homes draws the home regions of a route or an organisation; none stands for all regions.
var homes = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID[string])

func TestARequestsDataEntersARegionThatIsAHomeOfBoth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Route{
			Homes: homes.Draw(t, "route"),
		}
		o := Organisation{
			Homes: homes.Draw(t, "organisation"),
		}
		isHome := func(list []string, region string) bool {
			for _, home := range list {
				if home == region {
					return true
				}
			}
			return len(list) == 0
		}
		for _, region := range []string{"a", "b", "c", "d"} {
			if got, want := r.ForOrganisation(&o).Allows(region), isHome(r.Homes, region) && isHome(o.Homes, region); got != want {
				t.Fatalf("region %s: allowed is %t, want %t", region, got, want)
			}
			if r.ForOrganisation(nil).Allows(region) != isHome(r.Homes, region) {
				t.Fatalf("region %s without an organisation", region)
			}
		}
	})
}

func TestTheOrganisationsPriorityGoesBeforeTheRoutes(t *testing.T) {
	is := is.New(t)
	route := func(priority int) Route {
		return Route{
			Priority: priority,
			Shares: []Share{{
				Service: "engine",
				Weight:  1,
			}},
		}
	}
	first := Organisation{
		Name:     "first",
		Priority: 1,
	}
	last := Organisation{
		Name:     "last",
		Priority: 2,
	}
	table := NewTable(Policy{
		Version:       1,
		Routes:        []Route{route(0), route(1)},
		Organisations: []Organisation{first, last},
	})
	want := 0
	for _, o := range []*Organisation{&first, &last} {
		for priority := range 2 {
			is.Equal(table.Urgency("engine", priority, o), want)
			is.Equal(table.Rank("engine", priority, o), float64(want)/3)
			want++
		}
	}
}

func TestADeltaLeadsToTheOrganisationsOfThePolicy(t *testing.T) {
	is := is.New(t)
	earlier := Policy{
		Version:       1,
		Keyed:         true,
		Organisations: manyOrganisations(600),
	}
	later := earlier
	later.Version = 2
	later.Organisations = manyOrganisations(600)
	later.Organisations[17].Keys = later.Organisations[17].Keys[:3]
	d, err := DeltaOf(&earlier, &later)
	is.NoErr(err)
	data, err := json.Marshal(d)
	is.NoErr(err)
	is.True(len(data) < 600) // the policy has some 130 KB
	got, err := d.Apply(&earlier)
	is.NoErr(err)
	is.Equal(*got, later)
}

// The bound is 1 µs without an allocation.
func BenchmarkAKeyIsLookedUp(b *testing.B) {
	table := NewTable(Policy{
		Version:       1,
		Organisations: manyOrganisations(600),
	})
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if table.Organisation(KeyOf("a-credential-of-20-77-3")) == nil {
			b.Fatal("not found")
		}
	}
}
