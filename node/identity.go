package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/decision"
)

const (
	unreadFor     = 3 * time.Second        // after this the catalog is read again, or the replica asked: one that starts is listed sooner, within two heartbeats of 1.2 s
	identityLimit = 600 * time.Millisecond // two calls within a region, of which one may wait for a slot
	maxReplaced   = 64                     // ids that wait to be asked about; a region of the users' sizes has fewer replicas that restart together
)

// Identity is what a replica says of itself when it is asked.
type Identity struct {
	ID       string
	Born     int64         // when its process started, in Unix milliseconds; 0 where it doesn't say
	ColdLeft time.Duration // how much longer it is cold; 0 also where it doesn't say
	Memory   int           // tokens; 0 for a replica that is no engine
}

// errOtherService says that a replica may belong to another service than the one
// that had its address before.
var errOtherService = errors.New("service of the replica can't be told")

// misdirected notes that another replica than the one of an id has its address.
func (n *Node) misdirected(id string) {
	select {
	case n.replaced <- id:
	default: // it is found out at the next request that goes there
	}
}

// runIdentity finds out which replicas have the addresses of others, until ctx ends.
// Where the catalog can be read, it is read again, if that was not done of late.
// Where it can't, the replica itself is asked: nothing else would tell before the
// catalog is back, and a region whose replicas were all restarted would serve nobody.
func (n *Node) runIdentity(ctx context.Context) {
	n.tasks.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case id := <-n.replaced:
				n.resolve(ctx, id)
			}
		}
	})
}

// resolve has it found out which replica has the address of another.
func (n *Node) resolve(ctx context.Context, old string) {
	switch {
	case n.catalogAge() < unreadFor:
		// the replica is not listed yet, or the watch is about to tell
	case n.storeOK.Load():
		n.feed.Behind(n.feed.Known() + 1)
	default:
		n.identify(ctx, old)
	}
}

// identify asks which replica has the address of another.
func (n *Node) identify(ctx context.Context, old string) {
	var info catalog.Replica
	var svc *catalog.Service
	_ = n.state.Do(func(s *state) { info, svc = s.listed(old) }) // it fails only when the box has ended
	if svc == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, identityLimit)
	defer cancel()
	id, err := n.adapter.Identify(ctx, n.replicas, info.Addr, svc.HealthPath)
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

// listed returns a replica that is listed, and its service; nil for none.
func (s *state) listed(id string) (catalog.Replica, *catalog.Service) {
	r := s.view.Get(id)
	if r == nil || !r.Listed() || s.table == nil {
		return catalog.Replica{}, nil
	}
	return r.Info(), s.table.Service(r.Info().Service)
}

// adopt takes the replica that has another's address into the copy of the catalog,
// in its place. What is published goes before it as soon as it can be read again.
func (n *Node) adopt(old catalog.Replica, svc *catalog.Service, id Identity) error {
	if id.ID == old.ID && id.Born <= old.Born {
		return nil // the other answer came from its predecessor
	}
	if !n.provesService(svc, id) {
		return errOtherService
	}
	n.applyUpdate(adopted(old, svc, id))
	return nil
}

// adopted returns the update that puts a start of a replica in the place of another one,
// of the same id or not.
func adopted(old catalog.Replica, svc *catalog.Service, id Identity) catalog.Update {
	now := old
	now.ID = id.ID
	now.Born = id.Born
	now.Told = true
	now.Leaving = false
	now.ColdLeft = catalog.Millis(id.ColdLeft.Milliseconds())
	if now.ColdLeft == 0 {
		now.ColdLeft = svc.ColdFor // it has just started, and may be about to say so
	}
	out := catalog.Update{
		Settled: true,
	}
	if now.ID != old.ID {
		out.Changes = append(out.Changes, catalog.Change{
			Revision: old.Revision,
			Gone:     old.ID,
		})
	}
	out.Changes = append(out.Changes, catalog.Change{
		Revision: old.Revision,
		Replica:  &now,
	})
	return out
}

// provesService says whether what a replica tells of itself shows that it belongs
// to a service: an address may have been given to a replica of another one. Only
// the memory of engines tells them apart, and only where no other service has
// engines of the same.
func (n *Node) provesService(svc *catalog.Service, id Identity) bool {
	if svc.Engine == nil || id.Memory == 0 || id.Memory != svc.Engine.Memory {
		return false
	}
	for _, o := range n.table.Load().Policy().Services {
		if o.Name != svc.Name && o.Engine != nil && o.Engine.Memory == id.Memory {
			return false
		}
	}
	return true
}
