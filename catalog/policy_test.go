package catalog_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/catalog"
	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

func plainRoute(name, host, prefix string) catalog.Route {
	return catalog.Route{
		Name:     name,
		Host:     host,
		Prefix:   prefix,
		Kind:     catalog.Repeatable,
		Attempts: 2,
		Timeout:  1000,
		Shares: []catalog.Share{{
			Service: name,
			Weight:  1,
		}},
	}
}

func plainPolicy(version int, routes ...catalog.Route) *catalog.Policy {
	return &catalog.Policy{
		Version: version,
		Routes:  routes,
	}
}

func ExampleTable_Find() {
	t := catalog.NewTable(*plainPolicy(
		1,
		plainRoute("app", "shop.example", "/"),
		plainRoute("orders", "shop.example", "/orders/"),
	))
	r, _ := t.Find("Shop.example:8443", "/orders/7")
	fmt.Println(r.Name, r.Service("request-1"))
	_, ok := t.Find("other.example", "/orders/7")
	fmt.Println(ok)
	// Output:
	// orders orders
	// false
}

func TestTheRouteOfAHostWithTheLongestPrefixIsFound(t *testing.T) {
	table := catalog.NewTable(*plainPolicy(
		3,
		plainRoute("all", "a.example", "/"),
		plainRoute("deep", "a.example", "/x/y/"),
		plainRoute("x", "a.example", "/x/"),
		plainRoute("only", "b.example", "/x/"),
	))
	cases := []struct{ host, path, want string }{
		{"a.example", "/", "all"},
		{"a.example", "/x", "all"},
		{"a.example", "/xx/", "all"},
		{"a.example", "/x/", "x"},
		{"a.example", "/x/y", "x"},
		{"a.example", "/x/y/z", "deep"},
		{"a.example:80", "/x/y/z", "deep"},
		{"A.Example", "/x/1", "x"},
		{"A.EXAMPLE:8443", "/x/1", "x"},
		{"b.example", "/x/1", "only"},
		{"b.example", "/y/1", ""},
		{"b.example", "", ""},
		{"c.example", "/x/1", ""},
		{"", "/x/1", ""},
		{":80", "/x/1", ""},
		{"a.example.", "/X/", ""},
	}
	for _, c := range cases {
		t.Run(c.host+" "+c.path, func(t *testing.T) {
			is := is.New(t)
			r, ok := table.Find(c.host, c.path)
			is.Equal(ok, c.want != "")
			if ok {
				is.Equal(r.Name, c.want)
			}
		})
	}
	is.New(t).Equal(table.Version(), 3)
}

func TestATableKnowsTheServicesOfItsPolicy(t *testing.T) {
	is := is.New(t)
	p := plainPolicy(1)
	p.Services = []catalog.Service{{
		Name: "m",
	}}
	table := catalog.NewTable(*p)
	is.Equal(table.Service("m").Name, "m")
	is.True(table.Service("n") == nil)
}

func TestRequestsAreSplitByWeightAndAlwaysAlike(t *testing.T) {
	const requests = 4000
	rapid.Check(t, func(t *rapid.T) {
		r := plainRoute("r", "h", "/")
		r.Shares = nil
		total := 0
		for i := range rapid.IntRange(1, 4).Draw(t, "services") {
			w := rapid.IntRange(0, 100).Draw(t, "weight")
			total += w
			r.Shares = append(r.Shares, catalog.Share{
				Service: fmt.Sprint("s", i),
				Weight:  w,
			})
		}
		got := map[string]int{}
		for n := range requests {
			id := fmt.Sprint("id-", n)
			s := r.Service(id)
			got[s]++
			if again := r.Service(id); again != s {
				t.Fatalf("%s goes to %s and %s", id, s, again)
			}
		}
		for _, s := range r.Shares {
			if total == 0 || len(r.Shares) == 1 {
				continue // nothing to split
			}
			share := float64(s.Weight) / float64(total)
			if diff := float64(got[s.Service])/requests - share; diff > 0.05 || diff < -0.05 {
				t.Fatalf("%s gets %d of %d, its share is %g", s.Service, got[s.Service], requests, share)
			}
			if s.Weight == 0 && got[s.Service] > 0 {
				t.Fatalf("%s without weight gets %d", s.Service, got[s.Service])
			}
		}
	})
}

func TestARoutesDataEntersOnlyItsHomes(t *testing.T) {
	is := is.New(t)
	r := plainRoute("r", "h", "/")
	is.True(r.Allows("north"))
	is.True(r.Allows(""))
	r.Homes = []string{"north", "west"}
	is.True(r.Allows("north"))
	is.True(r.Allows("west"))
	is.True(!r.Allows("south"))
	is.True(!r.Allows(""))
	is.True(!r.Allows("nor"))
}

func TestOnlyRepeatableRequestsRunAgain(t *testing.T) {
	is := is.New(t)
	cases := []struct {
		kind      catalog.Kind
		resumable bool
		want      bool
	}{
		{catalog.Repeatable, false, true},
		{catalog.Once, false, false},
		{catalog.Once, true, false},
		{catalog.Stream, false, false},
		{catalog.Stream, true, true},
	}
	for _, c := range cases {
		r := plainRoute("r", "h", "/")
		r.Kind = c.kind
		r.Resumable = c.resumable
		is.Equal(r.Repeatable(), c.want)
	}
}

func TestMillisAreDurations(t *testing.T) {
	is := is.New(t)
	is.Equal(catalog.Millis(1500).Duration(), 1500*time.Millisecond)
	is.Equal(catalog.Millis(0.5).Duration(), 500*time.Microsecond)
}

func TestADecodedPolicyIsChecked(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           string // part of the error; empty for none
	}{
		{"sound", "", "", ""},
		{"version missing", `"version":1,`, ``, "version"},
		{"version zero", `"version":1`, `"version":0`, "version"},
		{"version negative", `"version":1`, `"version":-4`, "version"},
		{"version text", `"version":1`, `"version":"1"`, "version"},
		{"host missing", `"host":"h"`, `"host":""`, "host"},
		{"prefix without a slash before", `"prefix":"/p/"`, `"prefix":"p/"`, "prefix"},
		{"prefix without a slash after", `"prefix":"/p/"`, `"prefix":"/p"`, "prefix"},
		{"prefix empty", `"prefix":"/p/"`, `"prefix":""`, "prefix"},
		{"root prefix", `"prefix":"/p/"`, `"prefix":"/"`, ""},
		{"kind unknown", `"kind":"once"`, `"kind":"twice"`, "kind"},
		{"kind missing", `"kind":"once",`, ``, "kind"},
		{"no shares", `[{"service":"s","weight":1}]`, `[]`, "service"},
		{"share without a service", `"service":"s"`, `"service":""`, "share"},
		{"negative weight", `"weight":1`, `"weight":-1`, "share"},
		{"weight zero", `"weight":1`, `"weight":0`, ""},
		{"no timeout", `"timeout_ms":5`, `"timeout_ms":0`, "timeout"},
		{"negative timeout", `"timeout_ms":5`, `"timeout_ms":-5`, "timeout"},
		{"unknown field", `"version":1,`, `"version":1,"colour":"red",`, ""},
	}
	const sound = `{"version":1,"routes":[{"name":"orders","host":"h","prefix":"/p/","kind":"once","timeout_ms":5,` +
		`"shares":[{"service":"s","weight":1}]}],"services":[{"name":"s"}]}`
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var p catalog.Policy
			err := json.Unmarshal([]byte(strings.Replace(sound, c.old, c.new, 1)), &p)
			if c.want == "" {
				is.NoErr(err)
				is.NoErr(p.Check())
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // names the mistake
			if !strings.HasPrefix(c.name, "version") {
				is.True(strings.Contains(err.Error(), "orders")) // names the route
			}
		})
	}
}

func TestAPolicyIsTheSameAfterEncoding(t *testing.T) {
	is := is.New(t)
	p := plainPolicy(4, plainRoute("a", "h", "/"))
	p.Services = []catalog.Service{{
		Name:          "a",
		ColdFor:       1500,
		ColdPerSecond: 2.5,
		Engine: &catalog.Engine{
			Slots:  4,
			Memory: 100,
		},
	}}
	data, err := json.Marshal(p)
	is.NoErr(err)
	var got catalog.Policy
	is.NoErr(json.Unmarshal(data, &got))
	is.Equal(&got, p)
}
