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

// For a look at one run by hand, such as -seed=12 -story=region-2-1: how the removal of
// a replica goes from box to box.
var story = flag.String("story", "", "id of a replica whose way through the boxes is printed")

// tell prints what happens to the replica whose story is asked for.
func (f *simulation) tell(box string, what ...any) {
	if *story != "" {
		fmt.Fprintf(os.Stderr, "%9.4f %s %s", time.Since(f.began).Seconds(), box, fmt.Sprintln(what...))
	}
}

// watched returns a source whose answers are told.
func (f *simulation) watched(box string, s catalog.Source) catalog.Source {
	if *story == "" {
		return s
	}
	return catalog.Source{
		Read: func(ctx context.Context) (catalog.Snapshot, error) {
			out, err := s.Read(ctx)
			has := slices.ContainsFunc(out.Replicas, func(r catalog.Replica) bool { return r.ID == *story })
			f.tell(box, "reads all:", out.Revision, "has it:", has, err)
			return out, err
		},
		Newest: func(ctx context.Context) (int64, error) {
			rev, err := s.Newest(ctx)
			f.tell(box, "asks for the newest:", rev, err)
			return rev, err
		},
		Wait: func(ctx context.Context, after int64, wait time.Duration) ([]catalog.Change, int64, error) {
			changes, rev, err := s.Wait(ctx, after, wait)
			f.tell(box, "watched from", after, "to", rev, aboutIt(changes, nil), err)
			return changes, rev, err
		},
	}
}

// aboutIt returns what news say of the replica.
func aboutIt(changes []catalog.Change, doubts []catalog.Doubt) string {
	out := ""
	for _, c := range changes {
		if c.Gone == *story {
			out += fmt.Sprint(" gone at ", c.Revision)
		}
		if c.Replica != nil && c.Replica.ID == *story {
			out += fmt.Sprint(" listed at ", c.Replica.Revision, ", leaving ", c.Replica.Leaving)
		}
	}
	for _, d := range doubts {
		if d.Replica == *story {
			out += fmt.Sprint(" in doubt since ", d.Revision, " for ", d.Left)
		}
	}
	return out
}

// lookAtStory tells which boxes of the replica's region began or ceased to list it.
func (f *simulation) lookAtStory(was map[string]string) {
	if *story == "" {
		return
	}
	for _, b := range f.boxes {
		now := "no process"
		if n := b.node.Load(); n != nil {
			_ = n.state.Do(func(s *state) {
				r := s.view.Get(*story)
				now = fmt.Sprint("lists it ", r != nil && r.Listed(), ", in doubt ", s.content.InDoubt(*story), ", follows ", n.follows.Load())
			})
		}
		if was[b.settings.Box] != now {
			was[b.settings.Box] = now
			f.tell(b.settings.Box, now)
		}
	}
}
