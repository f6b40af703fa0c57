package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	peerDial  = 500 * time.Millisecond // between regions a connection takes 160 ms
	pullLimit = 2 * time.Second        // for the catalog, or what changed in it, from another box
	pullNear  = 700 * time.Millisecond // for what changed in it, from a box of the own region: with more a follower that asked a lost box knew of a change 2.3 to 3.3 s late, with a median of 0.3 s
	pullPause = 300 * time.Millisecond // between two of them
)

// catalogRequest asks another box for what it knows of the catalog.
type catalogRequest struct {
	After int64 `json:"after"` // revision that the asking box knows; 0 for none
}

// copyState is what a box holds of the catalog, beside what another one says.
type copyState struct {
	newest   int64 // revision that was taken in
	after    int64 // revision after which it needs to be told what changed
	doubtful bool  // it has removals in doubt
	policy   int   // version
	untold   bool  // the other found replicas gone that it was not told of
}

// holds returns what this box holds beside what another one says.
func (s *state) holds(from wire.BoxStatus) copyState {
	out := copyState{
		newest:   s.content.Newest(),
		after:    s.content.Revision(),
		doubtful: s.content.Doubtful(),
		untold:   s.untold(from),
	}
	if s.table != nil {
		out.policy = s.table.Version()
	}
	return out
}

// pulls says whether the catalog is asked for from another box: when this one
// knows nothing, or doesn't read the publisher itself and the other knows more, or
// may know more of a removal that is in doubt here.
func (n *Node) pulls(from wire.BoxStatus, has copyState) bool {
	if n.table.Load() == nil && from.Policy > 0 && has.newest == 0 {
		return true
	}
	near := n.isFollower.Load() && from.Region == n.settings.Region
	if (near || !n.storeOK.Load()) && int64(from.Catalog) > has.newest {
		return true
	}
	return near && (has.untold || has.doubtful) && n.now() >= time.Duration(n.nextRemovalPull.Load())
}

// lapses is of how many replicas, whose removal had been in doubt, an incarnation of a
// box has told.
type lapses struct {
	inc   int
	found int
}

// untold says whether another box has found such replicas gone that it has not told
// this one of. Its revision doesn't show that: this one may have learned it before.
func (s *state) untold(from wire.BoxStatus) bool {
	told := s.removals[from.Box]
	return from.Lapses > 0 && (told.inc != from.Inc || told.found < from.Lapses)
}

// toldLapses takes in that a box has told what it found.
func (s *state) toldLapses(from wire.BoxStatus) {
	if from.Lapses == 0 {
		return
	}
	s.removals[from.Box] = lapses{
		inc:   from.Inc,
		found: from.Lapses,
	}
}

// pull asks another box for what changed after a revision. It returns whether that had no
// room to answer.
func (n *Node) pull(ctx context.Context, from wire.BoxStatus, after int64) (busy bool) {
	limit := pullLimit
	if from.Region == n.settings.Region && n.table.Load() != nil {
		limit = pullNear
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	left := n.now()
	news, err := n.fetchChanges(ctx, from.Peers, after)
	if err != nil {
		n.record(decision.Event{
			Kind:     decision.Belief,
			Upstream: from.Box,
			Reason:   "catalog not read from box",
			Detail:   err.Error(),
		})
		n.feed.Behind(int64(from.Catalog))
		return false
	}
	if news.Wait > 0 {
		return true
	}
	n.takeUpdate(news.Update())
	n.seekPolicy(ctx)
	replicas := 0
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		s.toldLapses(from)
		replicas = s.content.Len()
	})
	n.feed.Learned(news.Revision, replicas)
	if news.Read > 0 {
		n.confirmAt(left - news.Read.Duration()) // the answer was made after that
	}
	return false
}

// callBox asks the box at an address for what changed after a revision.
func (n *Node) callBox(ctx context.Context, addr string, after int64) (news catalog.News, err error) {
	var out catalog.EncodedNews
	err = n.peers.Call(ctx, addr, peer.Catalog, catalogRequest{
		After: after,
	}, &out)
	if err != nil {
		return news, err
	}
	return out.Decode()
}

// answerPeer answers another box's question.
func (n *Node) answerPeer(_ context.Context, m peer.Method, params json.RawMessage) (any, error) {
	switch m {
	case peer.Catalog:
		var req catalogRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, errors.Wrap(err, "catalog")
		}
		return n.giveCatalog(req.After)
	case peer.Policy:
		var req policyRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, errors.Wrap(err, "policy")
		}
		return n.givePolicy(req.Have)
	case peer.Proof:
		return n.giveProof(), nil
	case peer.Quota:
		var req bankAsk
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, errors.Wrap(err, "quota")
		}
		return n.grant(req.From, req.Asks), nil
	case peer.Demand:
		return n.demand(), nil
	}
	return nil, errors.Newf("unknown message %q", string(m))
}

// takeUpdate takes an update of the catalog in.
func (n *Node) takeUpdate(u catalog.Update) {
	first := n.table.Load() == nil
	_ = n.state.Do(func(s *state) {
		n.recordBeliefs(s.applyUpdate(u, n.now()))
		n.table.Store(s.table)
	})
	if t := n.table.Load(); t != nil {
		n.lease.Hold(t.Version())
	}
	if first && n.table.Load() != nil {
		n.notifyAll(false) // this box serves from now on
	}
}

// settle believes the removals whose time of doubt is over.
func (n *Node) settle() {
	_ = n.state.Do(func(s *state) { n.recordBeliefs(s.applyExpired(n.now())) }) // it fails only when the box has ended
}

// recordBeliefs writes down what is believed now, and drops connections that rest at the
// address of a replica that has started again.
func (n *Node) recordBeliefs(list []placement.Belief) {
	for _, b := range list {
		if b.Addr != "" {
			n.replicaPool.CloseResting(b.Addr)
		}
		n.record(decision.Event{
			Kind:     decision.Belief,
			Upstream: b.About,
			Reason:   b.Reason,
			Revision: b.Rev,
		})
	}
}

// storeHealth takes in whether a call to the store succeeded.
func (n *Node) storeHealth(err error) {
	ok := err == nil
	if ok {
		n.lastRead.Store(int64(n.now()))
	}
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

// badValue writes down a published value that can't be used.
func (n *Node) badValue(name string, err error) {
	n.record(decision.Event{
		Kind:     decision.Belief,
		Upstream: name,
		Reason:   "value not usable, the last good one stays",
		Detail:   err.Error(),
	})
}

// foreignEntry writes down an entry that names no replica. It was written by somebody
// else, or by a replica of another version.
func (n *Node) foreignEntry(name string, err error) {
	n.meter.ForeignEntry()
	n.record(decision.Event{
		Kind:     decision.Belief,
		Upstream: name,
		Reason:   "entry names no replica",
		Detail:   err.Error(),
	})
}
