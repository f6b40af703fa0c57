package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	cutFor    = 10 * time.Second // for which a replica that ended may still be listed: its entry lapses after three heartbeats, some 4 s
	maxCuts   = 256              // of one start, more than it runs at once
	maxTold   = 8                // of one start, on a line of the log
	maxStarts = 4096             // with cuts; replicas of an installation

	together     = 10 * time.Millisecond // between the first cuts of replicas that end for one cause, as a box sees them: eleven that crashed together were within 1 ms; with 50 ms those that several poison requests end by turns seemed to
	manyReplicas = 3                     // that end together, as with a rack or a power line: of their requests only those may be the cause that more than one of them ran
)

// Settles is how long the end of a replica is left open, so that those that end together
// with it are known.
const Settles = 50 * time.Millisecond

// cut is the requests that a start of a replica gave no whole answer.
type cut struct {
	digests   map[Digest]bool // true for one that was on trial
	first     time.Duration   // when the first was cut
	at        time.Duration   // of the latest
	ended     bool            // the start is known to have ended
	explained bool            // by others that ended together with it
}

// Cuts holds requests that got no whole answer until it is known whether the replica has
// ended. One that lives may have cut a single answer, of which no request is the cause.
type Cuts struct {
	starts map[string]*cut
}

// NewCuts returns an empty Cuts.
func NewCuts() *Cuts {
	return &Cuts{
		starts: make(map[string]*cut),
	}
}

// Add notes that a start gave a request that was sent to it at a time no whole answer, and
// returns whether the start is known to have ended under its requests; alone says that the
// request was on trial there. What was sent just after the start had cut others can't be the
// cause: it went to a process that was gone.
func (c *Cuts) Add(start string, d Digest, alone bool, sent, now time.Duration) (ended bool) {
	k := c.starts[start]
	if k != nil && sent >= k.first && (k.ended || sent-k.first < dialGap) {
		return false
	}
	if k == nil {
		if len(c.starts) >= maxStarts {
			return false
		}
		k = &cut{
			digests: make(map[Digest]bool),
			first:   now,
		}
		c.starts[start] = k
	}
	if len(k.digests) < maxCuts {
		k.digests[d] = alone
	}
	k.at = now
	return k.ended && c.mayCause(k, d)
}

// Clear takes a request out that a replica survived since, of starts of which it isn't known
// whether they have ended, and returns whether it was in. Else its answer would come before the
// end that it clears, and clear nothing.
func (c *Cuts) Clear(d Digest) (found bool) {
	for _, k := range c.starts {
		if _, ok := k.digests[d]; ok && !k.ended {
			delete(k.digests, d)
			found = true
		}
	}
	return found
}

// CutBy returns requests that a start gave no whole answer, as many as a line of the log holds.
func (c *Cuts) CutBy(start string) []Digest {
	k := c.starts[start]
	if k == nil {
		return nil
	}
	list := slices.SortedFunc(maps.Keys(k.digests), func(a, b Digest) int { return slices.Compare(a[:], b[:]) })
	return list[:min(len(list), maxTold)]
}

// Ending is an end of a replica that a request may be the cause of.
type Ending struct {
	Digest Digest
	End    End
}

// Ended notes that a start has ended, and returns what that says of the requests that it ran
// and that may be the cause. An end counts from its cut: what was answered after that clears it.
func (c *Cuts) Ended(start string) []Ending {
	k := c.starts[start]
	if k == nil || k.ended {
		return nil
	}
	k.ended = true
	k.explained = len(c.cutWith(k)) >= manyReplicas
	out := make([]Ending, 0, len(k.digests))
	for d, alone := range k.digests {
		if !c.mayCause(k, d) {
			continue
		}
		out = append(out, Ending{
			Digest: d,
			End: End{
				Start: StartOf(start),
				At:    k.at,
				Alone: alone,
			},
		})
	}
	return out
}

// mayCause says whether a request may be the cause of an end. A request that comes at several
// boxes at once may well end several replicas together.
func (c *Cuts) mayCause(k *cut, d Digest) bool {
	if !k.explained {
		return true
	}
	n := 0
	for _, other := range c.cutWith(k) {
		if _, ok := other.digests[d]; ok {
			n++
		}
	}
	return n > 1
}

// cutWith returns the cuts that began together with one, itself included.
func (c *Cuts) cutWith(k *cut) (out []*cut) {
	for _, other := range c.starts {
		if (other.first - k.first).Abs() <= together {
			out = append(out, other)
		}
	}
	return out
}

// Lives notes that a start gave a whole answer to a request that was sent to it at a time.
func (c *Cuts) Lives(start string, sent time.Duration) {
	if k := c.starts[start]; k != nil && !k.ended && sent > k.at {
		delete(c.starts, start)
	}
}

// Open returns the starts of which it isn't known whether they have ended.
func (c *Cuts) Open() []string {
	var out []string
	for start, k := range c.starts {
		if !k.ended {
			out = append(out, start)
		}
	}
	return out
}

// Forget drops what was cut long ago.
func (c *Cuts) Forget(now time.Duration) {
	for start, k := range c.starts {
		if now-k.at > cutFor {
			delete(c.starts, start)
		}
	}
}
