package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	interruptionTTL  = 10 * time.Second // exceeds the time in which the entry of a crashed replica expires; three heartbeats, some 4 s
	maxInterruptions = 256              // per incarnation
	maxLoggedDigests = 8                // per incarnation and log line
	maxIncarnations  = 4096             // with interrupted requests
	maxHeldParts     = 32 << 10         // of all incarnations

	jointCrashWindow = 10 * time.Millisecond // between the first interruptions of replicas that crash for one cause; more would join the crashes of several poison requests; eleven that crashed together were within 1 ms, and 50 ms joined several poison requests
	minJointCrashes  = 3                     // as with a rack or a power line: only a request that several of them ran may be the cause
)

// JointCrashDelay is the delay before a crash is counted, in which joint crashes become known.
const JointCrashDelay = 50 * time.Millisecond

// interruption holds the requests to which an incarnation gave no complete response.
type interruption struct {
	digests map[Digest]bool // true for a request on trial
	parts   map[Digest]bool // of the prompts of these requests
	first   time.Duration
	last    time.Duration
	crashed bool // the incarnation is known to have crashed
	joint   bool // several replicas crashed together
}

// Interruptions holds requests without a complete response until it is known whether their
// replica has crashed. A replica that survives may have interrupted a single response, which is
// not held against the request.
type Interruptions struct {
	incarnations map[string]*interruption
	heldParts    int // of all incarnations
}

// NewInterruptions returns empty Interruptions.
func NewInterruptions() *Interruptions {
	return &Interruptions{
		incarnations: make(map[string]*interruption),
	}
}

// Add records that an incarnation gave no complete response to a request, and reports whether
// the incarnation is known to have crashed and the request may be the cause. A request sent just
// after the first interruption can't be. alone marks a run on trial.
func (c *Interruptions) Add(incarnation string, d Digest, alone bool, sent, now time.Duration) (crashed bool) {
	k := c.incarnations[incarnation]
	if k != nil && k.crashed && sent-k.last >= restartTime {
		c.drop(incarnation) // the replica is back under its ID
		k = nil
	}
	if k != nil && !k.mayHaveRun(sent) {
		return false
	}
	if k == nil {
		if len(c.incarnations) >= maxIncarnations {
			return false
		}
		k = &interruption{
			digests: make(map[Digest]bool),
			parts:   make(map[Digest]bool),
			first:   now,
		}
		c.incarnations[incarnation] = k
	}
	if len(k.digests) < maxInterruptions {
		k.digests[d] = alone
	}
	k.last = now
	return k.crashed && c.mayCause(k, d)
}

// mayHaveRun reports whether a request sent at a time may have run before the replica crashed.
func (k *interruption) mayHaveRun(sent time.Duration) bool {
	return sent < k.first || (!k.crashed && sent-k.first >= dialInterval)
}

// AddParts records the parts of the prompt of a request just added, and reports whether the incarnation is
// known to have crashed and they may be the cause. A joint crash of several replicas has another cause.
func (c *Interruptions) AddParts(incarnation string, parts []Digest, sent time.Duration) (crashed bool) {
	k := c.incarnations[incarnation]
	if k == nil || !k.mayHaveRun(sent) {
		return false
	}
	for _, d := range parts {
		if c.heldParts < maxHeldParts && !k.parts[d] {
			k.parts[d] = true
			c.heldParts++
		}
	}
	return k.crashed && !k.joint
}

// ClearParts removes parts that a replica has survived from all incarnations not known to have crashed,
// and returns those that were present.
func (c *Interruptions) ClearParts(parts []Digest) (found map[Digest]bool) {
	for _, k := range c.incarnations {
		for _, d := range parts {
			if k.crashed || !k.parts[d] {
				continue
			}
			if found == nil {
				found = make(map[Digest]bool)
			}
			found[d] = true
			delete(k.parts, d)
			c.heldParts--
		}
	}
	return found
}

// SuspectParts returns the crash of an incarnation for each part that may be the cause.
func (c *Interruptions) SuspectParts(incarnation string) (out []SuspectedCrash) {
	k := c.incarnations[incarnation]
	if k == nil || !k.crashed || k.joint {
		return nil
	}
	for d := range k.parts {
		out = append(out, SuspectedCrash{
			Digest: d,
			Crash:  k.crashOf(incarnation),
		})
	}
	return out
}

// crashOf returns the crash of an incarnation, at the time of its interruption.
func (k *interruption) crashOf(incarnation string) Crash {
	return Crash{
		Incarnation: IncarnationOf(incarnation),
		At:          k.last,
	}
}

// drop forgets an incarnation.
func (c *Interruptions) drop(incarnation string) {
	c.heldParts -= len(c.incarnations[incarnation].parts)
	delete(c.incarnations, incarnation)
}

// Clear removes a request that a replica has survived from all incarnations not known to have
// crashed, and reports whether it was present.
func (c *Interruptions) Clear(d Digest) (found bool) {
	for _, k := range c.incarnations {
		if _, ok := k.digests[d]; ok && !k.crashed {
			delete(k.digests, d)
			found = true
		}
	}
	return found
}

// InterruptedBy returns up to maxLoggedDigests requests that an incarnation interrupted.
func (c *Interruptions) InterruptedBy(incarnation string) []Digest {
	k := c.incarnations[incarnation]
	if k == nil {
		return nil
	}
	list := slices.SortedFunc(maps.Keys(k.digests), func(a, b Digest) int { return slices.Compare(a[:], b[:]) })
	return list[:min(len(list), maxLoggedDigests)]
}

// SuspectedCrash is a crash with a request that may be its cause.
type SuspectedCrash struct {
	Digest Digest
	Crash  Crash
}

// Crashed records that an incarnation has crashed, and returns the crash for each request that
// may be the cause. A crash has the time of its interruption, so that a later response clears
// it.
func (c *Interruptions) Crashed(incarnation string) []SuspectedCrash {
	k := c.incarnations[incarnation]
	if k == nil || k.crashed {
		return nil
	}
	k.crashed = true
	k.joint = len(c.concurrentWith(k)) >= minJointCrashes
	out := make([]SuspectedCrash, 0, len(k.digests))
	for d, alone := range k.digests {
		if !c.mayCause(k, d) {
			continue
		}
		e := k.crashOf(incarnation)
		e.OnTrial = alone
		out = append(out, SuspectedCrash{
			Digest: d,
			Crash:  e,
		})
	}
	return out
}

// mayCause reports whether a request may be the cause of a crash. Of a joint crash, only a
// request that several of the replicas ran may be, as it can arrive at several boxes at once.
func (c *Interruptions) mayCause(k *interruption, d Digest) bool {
	if !k.joint {
		return true
	}
	n := 0
	for _, other := range c.concurrentWith(k) {
		if _, ok := other.digests[d]; ok {
			n++
		}
	}
	return n > 1
}

// concurrentWith returns the interruptions that began together with k, including k.
func (c *Interruptions) concurrentWith(k *interruption) (out []*interruption) {
	for _, other := range c.incarnations {
		if (other.first - k.first).Abs() <= jointCrashWindow {
			out = append(out, other)
		}
	}
	return out
}

// Survived records that an incarnation gave a complete response to a request sent at a time.
func (c *Interruptions) Survived(incarnation string, sent time.Duration) {
	if k := c.incarnations[incarnation]; k != nil && !k.crashed && sent > k.last {
		c.drop(incarnation)
	}
}

// Unconfirmed returns the incarnations that are not known to have crashed.
func (c *Interruptions) Unconfirmed() []string {
	var out []string
	for incarnation, k := range c.incarnations {
		if !k.crashed {
			out = append(out, incarnation)
		}
	}
	return out
}

// Expire drops expired interruptions.
func (c *Interruptions) Expire(now time.Duration) {
	for incarnation, k := range c.incarnations {
		if now-k.last > interruptionTTL {
			c.drop(incarnation)
		}
	}
}
