package catalog_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/catalog"
)

// teller is a copy that learns from a publisher, in changes or whole.
type teller struct {
	*publisher
	copy  *catalog.Content
	known int64 // revision up to which changes were taken in
}

// learn brings the copy up to date.
func (l *teller) learn(t *rapid.T) {
	if l.known == 0 || rapid.IntRange(0, 3).Draw(t, "whole") == 0 {
		s := l.snapshot()
		l.copy.Take(catalog.Update{
			Snapshot: &s,
			Revision: s.Revision,
			Settled:  true,
		})
		l.known = s.Revision
		return
	}
	changes, rev, _, err := l.since(l.known)
	if err != nil {
		t.Fatal(err)
	}
	l.copy.Take(catalog.Update{
		Changes:  changes,
		Revision: rev,
		Settled:  true,
	})
	l.known = rev
}

// publishSomething makes one change of what is published.
func publishSomething(t *rapid.T, p *publisher, version *int) {
	id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0, 1:
		p.put(plainReplica(id, rapid.Int64Range(0, 3).Draw(t, "cold")))
	case 2:
		p.drop(id)
	case 3:
		domain := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "domain")
		if rapid.Bool().Draw(t, "closed") {
			p.change(catalog.Change{Evacuated: domain})
		} else {
			p.change(catalog.Change{Unevacuated: domain})
		}
	case 4:
		*version++
		p.change(catalog.Change{Policy: somePolicy(t, *version)})
	}
}

// A box that asks another now and then for what is new, over the wire, ends up
// with the same copy, however the other one learns and however much it missed.
func TestNewsMakeTheSameCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		version := 0
		l := &teller{
			publisher: newPublisher(),
			copy:      catalog.NewContent(),
		}
		asks := catalog.NewContent()
		told := catalog.NewDeltas()
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				publishSomething(t, l.publisher, &version)
			}
			l.learn(t)
			if rapid.IntRange(0, 2).Draw(t, "asked") > 0 {
				continue
			}
			data, err := json.Marshal(l.copy.Since(asks.Revision()))
			if err != nil {
				t.Fatal(err)
			}
			var news catalog.News
			if err := json.Unmarshal(data, &news); err != nil {
				t.Fatal(err)
			}
			asks.Take(news.Update())
			askForPolicy(t, asks, l.copy, told)
			got, want := asks.Snapshot(), l.copy.Snapshot()
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("got %+v, want %+v", got, want)
			}
		}
	})
}

func TestNewsAfterManyRemovalsAreTheWhole(t *testing.T) {
	is := is.New(t)
	p := newPublisher()
	c := catalog.NewContent()
	p.put(plainReplica("stays", 0))
	s := p.snapshot()
	c.Take(catalog.Update{Snapshot: &s, Revision: s.Revision, Settled: true})
	start := c.Revision()
	for n := range 600 {
		id := fmt.Sprint("r-", n)
		p.put(plainReplica(id, 0))
		p.drop(id)
	}
	changes, rev, _, err := p.since(start)
	is.NoErr(err)
	c.Take(catalog.Update{Changes: changes, Revision: rev, Settled: true})
	is.True(c.Since(start).Snapshot != nil)
	is.True(c.Since(rev).Snapshot == nil)
	is.Equal(len(c.Since(rev).Changes), 1) // what changed at the revision itself
	is.True(c.Since(0).Snapshot != nil)    // a box that knows nothing
}

// A failure domain that is lost takes its part of the replicas at once, and who asked
// before is told of each of them, not of all that is left.
func TestWhatAFailureDomainTookIsToldAsRemovalsHoweverManyReplicasThereAre(t *testing.T) {
	for _, all := range []int{600, 6000, 12_000} {
		for _, settled := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				knows, asks := catalog.NewContent(), catalog.NewContent()
				var before, after []catalog.Replica
				for i := range all {
					r := numbered(i)
					before = append(before, r)
					if i%4 > 0 {
						after = append(after, r)
					}
				}
				takeAll(knows, before, int64(all), true)
				asks.Take(knows.Since(0).Update())
				asked := asks.Revision()
				takeAll(knows, after, int64(all+1), settled)
				time.Sleep(3 * time.Second) // longer than any doubt
				knows.Settle()
				for _, revision := range []int64{asked, int64(all + 1)} { // it may have heard of the reading before its doubts were over
					news := knows.Since(revision)
					is.True(news.Snapshot == nil)
					if revision == asked || !settled {
						is.Equal(len(removals(news)), all/4)
					}
				}
				asks.Take(knows.Since(asked).Update())
				is.Equal(len(asks.Replicas()), len(after))
			})
		}
	}
}

// removals returns the replicas that news tell are gone.
func removals(news catalog.News) []string {
	var out []string
	for _, ch := range news.Changes {
		if ch.Gone != "" {
			out = append(out, ch.Gone)
		}
	}
	return out
}

// numbered is one of many replicas, changed at a revision of its own.
func numbered(i int) catalog.Replica {
	return catalog.Replica{
		ID:       fmt.Sprintf("replica-%06d", i),
		Service:  "service",
		Addr:     fmt.Sprintf("10.0.0.1:%d", i),
		Region:   "region",
		Revision: int64(i + 1),
	}
}

// takeAll has a copy take a reading in.
func takeAll(c *catalog.Content, list []catalog.Replica, revision int64, settled bool) {
	c.Take(catalog.Update{
		Snapshot: &catalog.Snapshot{
			Revision: revision,
			Replicas: list,
		},
		Revision: revision,
		Settled:  settled,
	})
}
