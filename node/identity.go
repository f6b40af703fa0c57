package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/decision"
)

const (
	recheckAge      = 3 * time.Second        // age of the catalog from which a misdirected request triggers a check
	identityTimeout = 600 * time.Millisecond // for an answer of a replica
	maxMisdirected  = 64                     // ids in the queue
)

// Identity is the identity that a replica reports.
type Identity struct {
	ID            string
	StartedAt     int64         // start of its process, in Unix milliseconds; 0 for unknown
	ColdRemaining time.Duration // remaining time in which it is cold; 0 also for unknown
	MemoryTokens  int           // in tokens; 0 for a replica that is no engine
}

// errOtherService reports that the replica at an address may belong to another service than
// its predecessor.
var errOtherService = errors.New("the identity doesn't show the replica's service")

// queueMisdirected queues a replica whose address belongs to another one now.
func (n *Node) queueMisdirected(id string) {
	select {
	case n.misdirectedIDs <- id:
	default: // the next request to the address queues it again
	}
}

// runIdentity starts a task that identifies the replicas at misdirected addresses until ctx is
// done. If the catalog is unavailable it asks the replica itself, so that a region whose
// replicas all restarted can still serve.
func (n *Node) runIdentity(ctx context.Context) {
	n.tasks.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case id := <-n.misdirectedIDs:
				n.resolve(ctx, id)
			}
		}
	})
}

// resolve reads the catalog again if its copy is old, or asks the replica if the catalog is
// unavailable.
func (n *Node) resolve(ctx context.Context, old string) {
	switch {
	case n.catalogAge() < recheckAge:
		// the replica is not listed yet, or the watch is about to receive it
	case n.storeOK.Load():
		n.feed.NotifyRevision(n.feed.Revision() + 1)
	default:
		n.identify(ctx, old)
	}
}

// identify asks the replica at the address of another one for its identity.
func (n *Node) identify(ctx context.Context, old string) {
	var info catalog.Replica
	var svc *catalog.Service
	_ = n.state.Do(func(s *state) { info, svc = s.listed(old) }) // it fails only when the box has ended
	if svc == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	id, err := n.adapter.Identify(ctx, n.replicaPool, info.Addr, svc.HealthPath)
	if err == nil {
		err = n.adopt(info, svc, id)
	}
	if err != nil {
		n.record(decision.Event{
			Kind:     decision.Belief,
			Upstream: old,
			Reason:   "replica at its address not known",
			Detail:   err.Error(),
		})
	}
}

// listed returns a listed replica and its service; nil for none.
func (s *state) listed(id string) (catalog.Replica, *catalog.Service) {
	r := s.view.Get(id)
	if r == nil || !r.Listed() || s.table == nil {
		return catalog.Replica{}, nil
	}
	return r.Info(), s.table.Service(r.Info().Service)
}

// adopt replaces a replica in the copy of the catalog by its successor at the same address.
// Later reads of the catalog take precedence.
func (n *Node) adopt(old catalog.Replica, svc *catalog.Service, id Identity) error {
	if id.ID == old.ID && id.StartedAt <= old.StartedAt {
		return nil // the other answer came from its predecessor
	}
	if !n.provesService(svc, id) {
		return errOtherService
	}
	n.applyUpdate(replacementUpdate(old, svc, id))
	return nil
}

// replacementUpdate returns the catalog update that replaces a replica by a later incarnation or by
// another replica.
func replacementUpdate(old catalog.Replica, svc *catalog.Service, id Identity) catalog.Update {
	now := old
	now.ID = id.ID
	now.StartedAt = id.StartedAt
	now.SelfReported = true
	now.Build = "" // it may differ
	now.Leaving = false
	now.ColdRemaining = catalog.Millis(id.ColdRemaining.Milliseconds())
	if now.ColdRemaining == 0 {
		now.ColdRemaining = svc.ColdFor // it has just started
	}
	out := catalog.Update{
		Settled: true,
	}
	if now.ID != old.ID {
		out.Changes = append(out.Changes, catalog.Change{
			Revision: old.Revision,
			Removed:  old.ID,
		})
	}
	out.Changes = append(out.Changes, catalog.Change{
		Revision: old.Revision,
		Replica:  &now,
	})
	return out
}

// provesService reports whether a replica's identity shows that it belongs to a service. Only
// the memory size of an engine does, and only if it is unique among the services.
func (n *Node) provesService(svc *catalog.Service, id Identity) bool {
	if svc.Engine == nil || id.MemoryTokens == 0 || id.MemoryTokens != svc.Engine.Memory {
		return false
	}
	for _, o := range n.table.Load().Policy().Services {
		if o.Name != svc.Name && o.Engine != nil && o.Engine.Memory == id.MemoryTokens {
			return false
		}
	}
	return true
}
