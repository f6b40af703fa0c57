package decision

import (
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

func TestAFailureReplacesTheOldestSuccessInAFullRing(t *testing.T) {
	is := is.New(t)
	r := ring{
		size: 3,
	}
	for _, id := range []string{"a", "b", "c"} {
		_, full := r.put(&Event{Kind: Place, Request: id}, routine)
		is.True(!full)
	}
	lost, full := r.put(&Event{Kind: Belief, Request: "d"}, failure)
	is.True(full)
	is.Equal(lost, Place)
	lost, full = r.put(&Event{Kind: Try, Request: "e"}, routine)
	is.True(full)
	is.Equal(lost, Try) // a success replaces nothing
	is.Equal(takeIDs(&r), []string{"b", "c", "d"})
	is.Equal(takeIDs(&r), nil)
}

func takeIDs(r *ring) []string {
	var out []string
	var e Event
	for r.take(&e) {
		out = append(out, e.Request)
	}
	return out
}

// queued is an event of the model of a ring.
type queued struct {
	id    string
	class class
}

// TestTheRingAgreesWithASlice compares the ring with a slice in order of arrival
// from which the first element of the lowest class is cut when it is full.
func TestTheRingAgreesWithASlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := ring{
			size: rapid.IntRange(1, 6).Draw(t, "size"),
		}
		var model []queued
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				c := class(rapid.IntRange(0, int(classes)-1).Draw(t, "class"))
				n++
				id := strconv.Itoa(n)
				_, full := r.put(&Event{Request: id}, c)
				if full != (len(model) == r.size) {
					t.Fatalf("full is %v with %d of %d", full, len(model), r.size)
				}
				model = putModel(model, queued{id: id, class: c}, r.size)
			},
			"take": func(t *rapid.T) {
				var e Event
				ok := r.take(&e)
				if ok != (len(model) > 0) {
					t.Fatalf("took %v with %d queued", ok, len(model))
				}
				if ok && e.Request != model[0].id {
					t.Fatalf("took %s, not %s", e.Request, model[0].id)
				}
				if ok {
					model = model[1:]
				}
			},
		})
	})
}

func putModel(model []queued, q queued, size int) []queued {
	if len(model) < size {
		return append(model, q)
	}
	lowest := slices.MinFunc(model, func(a, b queued) int { return int(a.class - b.class) })
	if lowest.class >= q.class {
		return model
	}
	n := slices.Index(model, lowest)
	return append(slices.Delete(slices.Clone(model), n, n+1), q)
}
