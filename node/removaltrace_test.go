package node

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

// tracedReplica prints how the removal of a replica spreads in one run, such as with
// -seed=12 -story=region-2-1.
var tracedReplica = flag.String("story", "", "id of a replica whose records in the boxes are printed")

func (f *simulation) printTraced(box string, what ...any) {
	if *tracedReplica != "" {
		fmt.Fprintf(os.Stderr, "%9.4f %s %s", time.Since(f.began).Seconds(), box, fmt.Sprintln(what...))
	}
}

func (f *simulation) tracedSource(box string, s catalog.Source) catalog.Source {
	if *tracedReplica == "" {
		return s
	}
	return catalog.Source{
		Read: func(ctx context.Context) (catalog.Snapshot, error) {
			out, err := s.Read(ctx)
			has := slices.ContainsFunc(out.Replicas, func(r catalog.Replica) bool { return r.ID == *tracedReplica })
			f.printTraced(box, "reads all:", out.Revision, "has it:", has, err)
			return out, err
		},
		Newest: func(ctx context.Context) (int64, error) {
			rev, err := s.Newest(ctx)
			f.printTraced(box, "asks for the newest:", rev, err)
			return rev, err
		},
		Wait: func(ctx context.Context, after int64, wait time.Duration) ([]catalog.Change, int64, error) {
			changes, rev, err := s.Wait(ctx, after, wait)
			f.printTraced(box, "watched from", after, "to", rev, changesOfTraced(changes, nil), err)
			return changes, rev, err
		},
	}
}

func changesOfTraced(changes []catalog.Change, doubts []catalog.UnconfirmedRemoval) string {
	out := ""
	for _, c := range changes {
		if c.Removed == *tracedReplica {
			out += fmt.Sprint(" gone at ", c.Revision)
		}
		if c.Replica != nil && c.Replica.ID == *tracedReplica {
			out += fmt.Sprint(" listed at ", c.Replica.Revision, ", leaving ", c.Replica.Leaving)
		}
	}
	for _, d := range doubts {
		if d.Replica == *tracedReplica {
			out += fmt.Sprint(" in doubt since ", d.Revision, " for ", d.Remaining)
		}
	}
	return out
}

// printListings prints which boxes began or ceased to list the traced replica.
func (f *simulation) printListings(was map[string]string) {
	if *tracedReplica == "" {
		return
	}
	for _, b := range f.boxes {
		now := "no process"
		if n := b.node.Load(); n != nil {
			_ = n.state.Do(func(s *state) {
				r := s.view.Get(*tracedReplica)
				now = fmt.Sprint("lists it ", r != nil && r.Listed(), ", in doubt ", s.content.IsUnconfirmed(*tracedReplica), ", follows ", n.isFollower.Load())
			})
		}
		if was[b.settings.Box] != now {
			was[b.settings.Box] = now
			f.printTraced(b.settings.Box, now)
		}
	}
}
