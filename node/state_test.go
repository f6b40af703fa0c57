package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/wire"
)

func TestALostBoxSharesQuotasForAMinute(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	for n := range 4 {
		b.receiveStatus(status(fmt.Sprint("box-", n), "a"), start+time.Duration(n)*time.Second)
	}
	b.receiveStatus(status("far", "b"), start)
	all := []string{"self", "box-0", "box-1", "box-2", "box-3"}
	is.Equal(b.sharers(start+4*time.Second), all)
	is.Equal(b.sharers(start+time.Minute-time.Millisecond), all)
	is.Equal(b.sharers(start+time.Minute), slices.Delete(slices.Clone(all), 1, 2))
}

func TestABoxWithFewRecordsAssumesMoreBoxes(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	for n, want := range []int{4, 3, 3} { // alone it assumes one more
		got := b.sharers(start)
		is.Equal(len(got), want)
		slices.Sort(got)
		is.Equal(len(slices.Compact(got)), want) // unique names
		is.True(slices.Contains(got, "self"))
		b.receiveStatus(status(fmt.Sprint("box-", n), "a"), start)
	}
	is.Equal(len(b.sharers(start)), 4)
	is.Equal(len(b.sharers(start+time.Hour)), 4)
}

func TestABoxThatLosesOthersDoesNotTakeTheirAllocationOfRetries(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	is.Equal(b.retryBoxes(start), 3)
	for n := range 8 {
		b.receiveStatus(status(fmt.Sprint("box-", n), "a"), start)
	}
	is.Equal(b.retryBoxes(start+time.Minute-time.Millisecond), 9)
	is.Equal(b.retryBoxes(start+time.Minute), 3)
}

func TestABoxThatLeavesStillSharesQuotas(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	b.receiveState("goes", "a", leavingState, true, start)
	is.True(slices.Contains(b.sharers(start), "goes"))
}

// drawUpdate returns an update with a policy of some version, or without one.
func drawUpdate(t *rapid.T) (u catalog.Update, version int) {
	version = rapid.IntRange(0, 20).Draw(t, "version")
	u.Revision = int64(rapid.IntRange(1, 40).Draw(t, "revision"))
	u.Settled = rapid.Bool().Draw(t, "settled")
	var p *catalog.Policy
	if version > 0 {
		p = policy(version)
	}
	if rapid.Bool().Draw(t, "whole") {
		u.Snapshot = &catalog.Snapshot{
			Revision: u.Revision,
			Policy:   p,
			Replicas: replicas("a", rapid.IntRange(0, 3).Draw(t, "replicas")),
		}
	} else if p != nil {
		u.Changes = []catalog.Change{{
			Revision: u.Revision,
			Policy:   p,
		}}
	}
	return u, version
}

func policiesInForce(changes []placement.Change) (out []string) {
	for _, b := range changes {
		if b.Reason == "policy in force" {
			out = append(out, b.Subject)
		}
	}
	return out
}

func TestAPolicyNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBox("self", "a", 0)
		newest := 1
		for range 30 {
			u, version := drawUpdate(t)
			var want []string
			if version > newest {
				newest = version
				want = []string{fmt.Sprint(version)}
			}
			if got := policiesInForce(b.applyUpdate(u, start)); !slices.Equal(got, want) {
				t.Fatalf("policies in force %v, want %v", got, want)
			}
			if b.table.Version() != newest {
				t.Fatalf("version %d in force after %d", b.table.Version(), newest)
			}
			if got := b.message(start).From.Policy; got != newest {
				t.Fatalf("sends version %d, %d is in force", got, newest)
			}
		}
	})
}

func TestChangesOfReplicasAreReturned(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	changes := b.publish(2, policy(2), append(replicas("a", 1), replicas("b", 1)...))
	is.Equal(changes, []placement.Change{
		{Reason: "policy in force", Subject: "2"},
		{Reason: "replica listed", Subject: "a-0", Rev: 1},
	})
	is.Equal(len(b.publish(2, policy(2), replicas("a", 1))), 0) // no changes
	changes = b.publish(3, policy(2), nil)
	is.Equal(changes, []placement.Change{{Reason: "replica no longer listed", Subject: "a-0", Rev: 3}})
	is.Equal(len(b.publish(1, policy(1), replicas("a", 1))), 0) // it is older
	is.Equal(b.message(start).From.Catalog, 3)
}

func TestANewerPolicyOfAnOlderSnapshotIsInForce(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 1)
	b.publish(5, nil, replicas("a", 2))
	changes := b.publish(4, policy(7), nil)
	is.Equal(policiesInForce(changes), []string{"7"})
	is.Equal(b.table.Version(), 7)
	is.Equal(len(b.view.Replicas()), 2) // the replicas are those of the newer one
}

func TestABoxWithoutAPolicySendsNoCapacity(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 1)
	is.Equal(b.message(start).From.Rooms, []wire.ServiceRoom{{
		Service: service,
		Usable:  1,
		WaitMs:  b.message(start).From.Rooms[0].WaitMs,
	}})
	b.state = newState(b.settings, b.self, 0)
	is.Equal(len(b.message(start).From.Rooms), 0)
	is.Equal(b.message(start).From.Policy, 0)
}

func TestARegionWithoutReplicasSendsThatItHasNoCapacity(t *testing.T) {
	is := is.New(t)
	rooms := newBox("self", "a", 0).message(start).From.Rooms
	is.Equal(rooms, []wire.ServiceRoom{serviceCapacity(0, noCapacityWait)})
}

func TestAMessageIsAppliedOnce(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 1)
	other := status("other", "a")
	other.Loads = []wire.ReplicaLoad{{
		Replica:  "a-0",
		InFlight: 3,
	}}
	b.receiveStatus(other, start)
	is.Equal(b.view.Get("a-0").Load(start).Requests, 3)
	repeated := other
	repeated.Seq = int(start / time.Millisecond)
	repeated.Loads = nil
	b.receive(wire.Gossip{
		From: repeated,
	}, start)
	is.Equal(b.view.Get("a-0").Load(start).Requests, 3)
	other.Region = "b"
	other.Box = "far"
	b.receiveStatus(other, start) // loads in another region don't count
	is.Equal(b.view.Get("a-0").Load(start).Requests, 3)
}
