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

// sourceCopy is a copy that is updated from a publisher by changes or snapshots.
type sourceCopy struct {
	*publisher
	copy     *catalog.Content
	revision int64 // revision up to which changes were taken in
}

func (c *sourceCopy) update(t *rapid.T) {
	if c.revision == 0 || rapid.IntRange(0, 3).Draw(t, "whole") == 0 {
		s := c.snapshot()
		c.copy.Apply(catalog.Update{
			Snapshot: &s,
			Revision: s.Revision,
			Settled:  true,
		})
		c.revision = s.Revision
		return
	}
	changes, rev, _, err := c.since(c.revision)
	if err != nil {
		t.Fatal(err)
	}
	c.copy.Apply(catalog.Update{
		Changes:  changes,
		Revision: rev,
		Settled:  true,
	})
	c.revision = rev
}

func publishAny(t *rapid.T, p *publisher, version *int) {
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

// Guards against updates between boxes that lead to a different copy, whichever updates the
// sender got and the receiver missed.
func TestUpdatesBetweenBoxesGiveTheSameCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		version := 0
		c := &sourceCopy{
			publisher: newPublisher(),
			copy:      catalog.NewContent(),
		}
		receiver := catalog.NewContent()
		deltas := catalog.NewDeltas()
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				publishAny(t, c.publisher, &version)
			}
			c.update(t)
			if rapid.IntRange(0, 2).Draw(t, "asked") > 0 {
				continue
			}
			data, err := json.Marshal(c.copy.ChangesSince(receiver.Revision()))
			if err != nil {
				t.Fatal(err)
			}
			var news catalog.ChangeSet
			if err := json.Unmarshal(data, &news); err != nil {
				t.Fatal(err)
			}
			receiver.Apply(news.Update())
			requestPolicy(t, receiver, c.copy, deltas)
			got, want := receiver.Snapshot(), c.copy.Snapshot()
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("got %+v, want %+v", got, want)
			}
		}
	})
}

func TestManyRemovalsCauseASnapshot(t *testing.T) {
	is := is.New(t)
	p := newPublisher()
	c := catalog.NewContent()
	p.put(plainReplica("stays", 0))
	s := p.snapshot()
	c.Apply(catalog.Update{Snapshot: &s, Revision: s.Revision, Settled: true})
	start := c.Revision()
	for n := range 600 {
		id := fmt.Sprint("r-", n)
		p.put(plainReplica(id, 0))
		p.drop(id)
	}
	changes, rev, _, err := p.since(start)
	is.NoErr(err)
	c.Apply(catalog.Update{Changes: changes, Revision: rev, Settled: true})
	is.True(c.ChangesSince(start).Snapshot != nil)
	is.True(c.ChangesSince(rev).Snapshot == nil)
	is.Equal(len(c.ChangesSince(rev).Changes), 1) // changes at the revision itself
	is.True(c.ChangesSince(0).Snapshot != nil)    // for a box without a copy
}

// Guards against sending a snapshot of a large catalog when a failure domain is lost.
func TestALostFailureDomainIsSentAsRemovals(t *testing.T) {
	for _, all := range []int{600, 6000, 12_000} {
		for _, settled := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sender, receiver := catalog.NewContent(), catalog.NewContent()
				var before, after []catalog.Replica
				for i := range all {
					r := numbered(i)
					before = append(before, r)
					if i%4 > 0 {
						after = append(after, r)
					}
				}
				takeSnapshot(sender, before, int64(all), true)
				receiver.Apply(sender.ChangesSince(0).Update())
				asked := receiver.Revision()
				takeSnapshot(sender, after, int64(all+1), settled)
				time.Sleep(3 * time.Second) // longer than any removal stays unconfirmed
				sender.ConfirmRemovals()
				for _, revision := range []int64{asked, int64(all + 1)} { // it may have received the later revision before the removals were confirmed
					news := sender.ChangesSince(revision)
					is.True(news.Snapshot == nil)
					if revision == asked || !settled {
						is.Equal(len(removals(news)), all/4)
					}
				}
				receiver.Apply(sender.ChangesSince(asked).Update())
				is.Equal(len(receiver.Replicas()), len(after))
			})
		}
	}
}

func removals(news catalog.ChangeSet) []string {
	var out []string
	for _, ch := range news.Changes {
		if ch.Removed != "" {
			out = append(out, ch.Removed)
		}
	}
	return out
}

// numbered returns one of many replicas, each with its own revision.
func numbered(i int) catalog.Replica {
	return catalog.Replica{
		ID:       fmt.Sprintf("replica-%06d", i),
		Service:  "service",
		Addr:     fmt.Sprintf("10.0.0.1:%d", i),
		Region:   "region",
		Revision: int64(i + 1),
	}
}

func takeSnapshot(c *catalog.Content, list []catalog.Replica, revision int64, settled bool) {
	c.Apply(catalog.Update{
		Snapshot: &catalog.Snapshot{
			Revision: revision,
			Replicas: list,
		},
		Revision: revision,
		Settled:  settled,
	})
}
