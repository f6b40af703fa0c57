package node

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	peerDialTimeout  = 500 * time.Millisecond // a connection between regions takes 160 ms
	pullTimeout      = 2 * time.Second        // for the catalog or its changes
	localPullTimeout = 700 * time.Millisecond // for catalog changes within a region, short enough to retry in time if the box is lost
	pullInterval     = 300 * time.Millisecond
)

// catalogRequest holds the parameters of a request for catalog changes.
type catalogRequest struct {
	After int64 `json:"after"` // revision of the requesting box; 0 for none
}

// copyState is the state of the local catalog copy relative to another box.
type copyState struct {
	newest             int64 // newest revision that was applied
	after              int64 // revision after which changes are requested
	unconfirmed        bool  // some removals are unconfirmed
	policy             int   // version
	unreportedRemovals bool  // the other box has confirmed removals that it has not sent to this one
}

func (s *state) compareCopy(from wire.BoxStatus) copyState {
	out := copyState{
		newest:             s.content.NewestRevision(),
		after:              s.content.Revision(),
		unconfirmed:        s.content.HasUnconfirmedRemovals(),
		unreportedRemovals: s.unreportedRemovals(from),
	}
	if s.table != nil {
		out.policy = s.table.Version()
	}
	return out
}

// shouldPull reports whether to pull the catalog from another box: this one has none, or it does not
// read the publisher and the other one has newer changes or may confirm a removal.
func (n *Node) shouldPull(from wire.BoxStatus, has copyState) bool {
	if n.table.Load() == nil && from.Policy > 0 && has.newest == 0 {
		return true
	}
	near := n.isFollower.Load() && from.Region == n.settings.Region
	if (near || !n.storeOK.Load()) && int64(from.Catalog) > has.newest {
		return true
	}
	return near && (has.unreportedRemovals || has.unconfirmed) && n.now() >= time.Duration(n.nextRemovalPull.Load())
}

// confirmedRemovals is the number of confirmed removals that an incarnation of a box has sent.
type confirmedRemovals struct {
	inc   int
	found int
}

// unreportedRemovals reports whether another box has confirmed removals that it has not sent to this
// one. Its revision does not show that, as this box may have received that revision earlier.
func (s *state) unreportedRemovals(from wire.BoxStatus) bool {
	told := s.confirmedRemovals[from.Box]
	return from.Lapses > 0 && (told.inc != from.Inc || told.found < from.Lapses)
}

func (s *state) recordReportedRemovals(from wire.BoxStatus) {
	if from.Lapses == 0 {
		return
	}
	s.confirmedRemovals[from.Box] = confirmedRemovals{
		inc:   from.Inc,
		found: from.Lapses,
	}
}

// pull pulls the changes after a revision from another box, and reports whether that was rate-limited.
func (n *Node) pull(ctx context.Context, from wire.BoxStatus, after int64) (busy bool) {
	limit := pullTimeout
	if from.Region == n.settings.Region && n.table.Load() != nil {
		limit = localPullTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sentAt := n.now()
	changes, err := n.fetchChanges(ctx, from.Peers, after)
	if err != nil {
		n.record(decision.Event{
			Kind:     decision.Belief,
			Upstream: from.Box,
			Reason:   "catalog not read from box",
			Detail:   err.Error(),
		})
		n.feed.NotifyRevision(int64(from.Catalog))
		return false
	}
	if changes.RetryAfter > 0 {
		return true
	}
	n.applyUpdate(changes.Update())
	n.fetchMissingPolicy(ctx)
	replicas := 0
	_ = n.state.Do(func(s *state) { // it fails only after the box has stopped
		s.recordReportedRemovals(from)
		replicas = s.content.Len()
	})
	n.feed.RecordRevision(changes.Revision, replicas)
	if changes.ReadAge > 0 {
		n.confirmAt(sentAt - changes.ReadAge.Duration()) // the response was made later
	}
	return false
}

func (n *Node) callCatalog(ctx context.Context, addr string, after int64) (changes catalog.ChangeSet, err error) {
	var out catalog.EncodedChangeSet
	err = n.peers.Call(ctx, addr, peer.Catalog, catalogRequest{
		After: after,
	}, &out)
	if err != nil {
		return changes, err
	}
	return out.Decode()
}

func (n *Node) answerPeer(_ context.Context, m peer.Method, params json.RawMessage) (any, error) {
	switch m {
	case peer.Catalog:
		var req catalogRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, errors.Wrap(err, "catalog")
		}
		return n.serveCatalog(req.After)
	case peer.Policy:
		var req policyRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, errors.Wrap(err, "policy")
		}
		return n.servePolicy(req.Have)
	case peer.FreshnessProof:
		return n.serveProof(), nil
	case peer.Quota:
		var req allocationRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, errors.Wrap(err, "quota")
		}
		return n.answer(req), nil
	case peer.Demand:
		var req demandRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, errors.Wrap(err, "demand")
		}
		return n.demand(req), nil
	}
	return nil, errors.Newf("unknown message %q", string(m))
}

func (n *Node) applyUpdate(u catalog.Update) {
	first := n.table.Load() == nil
	_ = n.state.Do(func(s *state) {
		n.recordStateChanges(s.applyUpdate(u, n.now()))
		n.table.Store(s.table)
		n.dispatch(s)
	})
	if t := n.table.Load(); t != nil {
		n.lease.SetVersion(t.Version())
	}
	if first && n.table.Load() != nil {
		n.notifyAll(false) // this box is ready from now on
	}
}

// applyExpired confirms removals whose waiting time is over, and updates the queues with them.
func (n *Node) applyExpired() {
	_ = n.state.Do(func(s *state) { // it fails only after the box has stopped
		n.recordStateChanges(s.applyExpired(n.now()))
		n.updateQueues(s)
	})
}

// recordStateChanges logs changes of the recorded state of replicas, and closes idle connections to
// replicas that have restarted.
func (n *Node) recordStateChanges(list []placement.Change) {
	for _, b := range list {
		if b.Addr != "" {
			n.replicaPool.CloseIdle(b.Addr)
		}
		n.record(decision.Event{
			Kind:     decision.Belief,
			Upstream: b.Subject,
			Reason:   b.Reason,
			Signal:   b.Signal,
			Channel:  b.Channel,
			Limit:    b.Limit,
			ForMs:    b.For.Milliseconds(),
			Revision: b.Rev,
		})
	}
}

func (n *Node) recordStoreHealth(err error) {
	ok := err == nil
	if n.storeOK.Swap(ok) == ok {
		return
	}
	e := decision.Event{
		Kind:     decision.Regained,
		Upstream: "store",
	}
	if !ok {
		e.Kind = decision.Lost
		e.Detail = err.Error()
	}
	n.record(e)
}

// recordBadValue logs a published value that can't be used.
func (n *Node) recordBadValue(name string, err error) {
	n.record(decision.Event{
		Kind:     decision.Belief,
		Upstream: name,
		Reason:   "invalid value, keeping the last valid one",
		Detail:   err.Error(),
	})
}

// recordRestored logs that the publisher came back from an older copy.
func (n *Node) recordRestored(era int64) {
	n.record(decision.Event{
		Kind:     decision.Belief,
		Upstream: "store",
		Reason:   "publisher came back from an older copy",
		Detail:   fmt.Sprint("era ", era),
	})
}

// recordForeignEntry logs an entry that names no replica: another program, or a replica of another
// version, wrote it.
func (n *Node) recordForeignEntry(name string, err error) {
	n.meter.ForeignEntry()
	n.record(decision.Event{
		Kind:     decision.Belief,
		Upstream: name,
		Reason:   "entry names no replica",
		Detail:   err.Error(),
	})
}
