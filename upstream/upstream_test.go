package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"

	"github.com/havenrudder/havenrudder/wire"
)

func entry(name, url string, state wire.ServingState) wire.UpstreamEntry {
	return wire.UpstreamEntry{
		Name:    name,
		Service: "s",
		URL:     url,
		State:   state,
		Slots:   4,
	}
}

// A full home refused every request for ten seconds after its load was gone,
// for nothing was sent that would have told.
func TestAReplicaThatWasFullWhenItLastToldIsTriedAgain(t *testing.T) {
	is := is.New(t)
	v := NewInventory()
	v.List("d", []wire.UpstreamEntry{entry("a", "http://a", wire.ServingStateServing)})
	v.Report("a", wire.Load{
		Running: 4,
		Waiting: 4,
	}, time.Second)
	r := v.Get("a")
	is.Equal(r.Load(time.Second), 8)
	is.Equal(r.Load(2*time.Second), 2)
	is.Equal(r.Load(5*time.Second), 0)
}

func TestAFreshWordOfLifeDoesNotCancelLeaving(t *testing.T) {
	is := is.New(t)
	v := NewInventory()
	serving := []wire.UpstreamEntry{entry("a", "http://a", wire.ServingStateServing)}
	v.List("d", serving)
	is.True(v.Leave("a"))
	v.Report("a", wire.Load{}, time.Second)
	v.List("d", serving)
	is.True(v.Get("a").Leaving) // the list lags

	v.List("d", nil)
	v.List("d", serving)
	is.True(!v.Get("a").Leaving) // it was gone, so this is a new process

	v.Leave("a")
	v.List("d", []wire.UpstreamEntry{entry("a", "http://b", wire.ServingStateServing)})
	is.True(!v.Get("a").Leaving) // another address is another process
}

func TestInFlightComesBackToZeroWhateverTheListSays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewInventory()
		type begun struct {
			name string
			gen  int
		}
		var open []begun
		names := rapid.SampledFrom([]string{"a", "b"})
		urls := rapid.SampledFrom([]string{"http://1", "http://2"})
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				v.List("d", []wire.UpstreamEntry{entry(names.Draw(t, "name"), urls.Draw(t, "url"), wire.ServingStateServing)})
			},
			"begin": func(t *rapid.T) {
				name := names.Draw(t, "name")
				if v.Get(name) != nil {
					open = append(open, begun{
						name: name,
						gen:  v.Begin(name, time.Second),
					})
				}
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("nothing in flight")
				}
				v.End(open[0].name, open[0].gen, Ended{
					Prefill: time.Second,
				}, 0)
				open = open[1:]
			},
		})
		for _, o := range open {
			v.End(o.name, o.gen, Ended{
				Prefill: time.Second,
			}, 0)
		}
		for _, name := range v.Names(func(*Replica) bool { return true }) {
			r := v.Get(name)
			if r.InFlight != 0 || r.pending != 0 || r.starting != 0 {
				t.Fatalf("%s: %d in flight, %d starting, %s pending", name, r.InFlight, r.starting, r.pending)
			}
		}
	})
}

func TestAReplicaThatWasSlowIsTakenForOrdinaryAgainInTime(t *testing.T) {
	is := is.New(t)
	v := NewInventory()
	v.List("d", []wire.UpstreamEntry{entry("a", "http://a", wire.ServingStateServing)})
	for range 20 {
		v.Start("a", v.Begin("a", 0), Started{
			First:    time.Second,
			Expected: 100 * time.Millisecond,
		}, time.Minute)
	}
	r := v.Get("a")
	is.True(r.Slow(time.Minute) > 8)
	is.True(r.Slow(2*time.Minute) < 1.5)
}
