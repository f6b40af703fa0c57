package catalog_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/catalog"
)

func somePolicy(t *rapid.T, version int) *catalog.Policy {
	p := plainPolicy(version)
	for _, name := range rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), 0, 9).Draw(t, "routes") {
		r := plainRoute(name, "h", "/"+name+"/")
		r.Timeout = catalog.Millis(rapid.IntRange(1, 2).Draw(t, "timeout"))
		p.Routes = append(p.Routes, r)
	}
	p.Limits.BodyBytes = rapid.IntRange(0, 1).Draw(t, "limit")
	return p
}

// requestPolicy requests the newest reported policy from another copy, in encoded form.
func requestPolicy(t *rapid.T, receiver, from *catalog.Content, deltas *catalog.Deltas) {
	if receiver.MissingPolicyVersion() == 0 {
		return
	}
	have := 0
	if p := receiver.Policy(); p != nil {
		have = p.Version
	}
	compressed, err := deltas.Compressed(from.Policies(), have)
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(catalog.PolicyResponse{
		Compressed: compressed,
	})
	if err != nil {
		t.Fatal(err)
	}
	var news catalog.PolicyResponse
	if err := json.Unmarshal(data, &news); err != nil {
		t.Fatal(err)
	}
	a, err := news.Delta()
	if err != nil {
		t.Fatal(err)
	}
	p, err := a.Apply(receiver.Policy())
	if err != nil {
		t.Fatal(err)
	}
	receiver.Apply(catalog.Update{
		Changes: []catalog.Change{{
			Policy: p,
		}},
		Settled: true,
	})
}

func TestADeltaGivesTheLaterPolicy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		earlier, later := somePolicy(t, 1), somePolicy(t, 2)
		if rapid.Bool().Draw(t, "none") {
			earlier = nil
		}
		a, err := catalog.DeltaOf(earlier, later)
		if err != nil {
			t.Fatal(err)
		}
		got, err := a.Apply(earlier)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, later) {
			t.Fatalf("got %+v, want %+v", got, later)
		}
	})
}

func TestADeltaOfAnotherPolicyFails(t *testing.T) {
	is := is.New(t)
	first := plainPolicy(1, plainRoute("a", "h", "/a/"), plainRoute("b", "h", "/b/"))
	a, err := catalog.DeltaOf(first, plainPolicy(2, plainRoute("a", "h", "/a/"), plainRoute("b", "h", "/b/")))
	is.NoErr(err)
	for _, other := range []*catalog.Policy{
		nil,
		plainPolicy(3, first.Routes...),
		plainPolicy(1, plainRoute("a", "h", "/a/")),
		plainPolicy(1, plainRoute("b", "h", "/b/"), plainRoute("a", "h", "/a/")),
	} {
		_, err := a.Apply(other)
		is.True(err != nil)
	}
	_, err = a.Apply(first)
	is.NoErr(err)
	a.Routes[0].At = -1
	_, err = a.Apply(first)
	is.True(err != nil)
}

func TestADeltaOfFewChangesIsSmall(t *testing.T) {
	is := is.New(t)
	var routes []catalog.Route
	for n := range 4200 {
		routes = append(routes, plainRoute(fmt.Sprintf("r-%07x", n*7919), fmt.Sprintf("h%d", n*104729%10007), "/"))
	}
	deltas := catalog.NewDeltas()
	list := []*catalog.Policy{plainPolicy(1, routes[:2800]...), plainPolicy(2, routes...), plainPolicy(3, routes...)}
	size := func(from int, list ...*catalog.Policy) int {
		out, err := deltas.Compressed(list, from)
		is.NoErr(err)
		return len(out)
	}
	whole, err := json.Marshal(list[2])
	is.NoErr(err)
	is.True(size(2, list...) < 200)
	is.True(size(1, list...) < len(whole)/20)
	is.True(size(0, list...) < len(whole)/8)
	is.Equal(size(7, list...), size(0, list...)) // a version that is not recorded
}

func TestACopyKeepsAFewEarlierPolicies(t *testing.T) {
	is := is.New(t)
	c := catalog.NewContent()
	take := func(version, routes int) {
		p := plainPolicy(version)
		p.Routes = make([]catalog.Route, routes)
		c.Apply(catalog.Update{Changes: []catalog.Change{{Policy: p}}})
	}
	for version := range 20 {
		take(1+version, 40)
	}
	is.Equal(len(c.Policies()), 8)
	is.Equal(c.Policy().Version, 20)
	for version := range 20 {
		take(21+version, 5000)
	}
	is.Equal(len(c.Policies()), 3) // limited by their routes
	take(3, 1)                     // an older version
	is.Equal(c.Policy().Version, 40)
}

func TestACopyRecordsWhichPolicyIsMissing(t *testing.T) {
	is := is.New(t)
	c := catalog.NewContent()
	is.Equal(c.MissingPolicyVersion(), 0)
	c.Apply(catalog.Update{PolicyVersion: 3, Revision: 5})
	is.Equal(c.MissingPolicyVersion(), 3)
	is.Equal(c.ChangesSince(5).PolicyVersion, 3) // sent together with the revision
	c.Apply(catalog.Update{Changes: []catalog.Change{{Policy: plainPolicy(2)}}})
	is.Equal(c.MissingPolicyVersion(), 3)
	is.Equal(c.Policy().Version, 2)
	c.Apply(catalog.Update{Changes: []catalog.Change{{Policy: plainPolicy(4)}}})
	is.Equal(c.MissingPolicyVersion(), 0)
	is.Equal(c.ChangesSince(5).PolicyVersion, 4)
}
