package pacing

import (
	"math"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

const (
	limitWindow      = 4 * time.Second  // shortest window of a limit
	maxLimitWindow   = 20 * time.Second // longest one, after which a replica that takes nothing is tried again
	rankTTL          = 50 * time.Millisecond
	startDivisor     = 2                // of the bound in the first window of a box
	limitedRetention = 30 * time.Second // of the sends to a replica that names no limit any more
)

// Limiter is the part of one box in the rate limits that replicas name. With n boxes
// of the region and a limit of rate requests per second
//
//	bound  = max(1, ceil(rate x 4 s))
//	window = bound / rate
//
// the box with rank r for the replica, from 0, makes at most ceil((bound-r)/n) sends
// in each window, and slack on top of that. The shares of all boxes add up to bound,
// so that all together keep the rate in the long run.
//
// The bound holds under the conditions of Pacer: neither a longer list, which only
// raises ranks, nor a lower rate raises a share.
//
// # Loans
//
// A box that needs more than its share asks others for sends of theirs. The lender
// counts a loan as a send of its own that is written within loanTTL, until the borrower
// reports that it has arrived or was not made. Without a report it counts as one whose
// arrival is unknown. So loans raise no sum, whatever datagrams are lost.
//
// Times are read from the monotonic clock since the start of the process. A Limiter is
// not safe for concurrent use.
type Limiter struct {
	self     string
	start    time.Duration
	replicas map[string]*limited
	nonce    uint32
}

// limited is the record of a replica that names a limit, or did so recently.
type limited struct {
	rate        float64
	named       bool
	ended       time.Duration // time from which it names none
	sends       history
	ranked      time.Duration // when rank and boxes were computed
	rank        int
	boxes       int
	loans       []Loan          // granted by other boxes and unused
	borrowed    []time.Duration // sends by loans within the window
	asked       []ask
	wanted      time.Duration // last request that could not be sent; never for none
	granted     time.Duration // last loan received; never for none
	pausedUntil time.Duration // until then no loan is expected
	cursor      int           // of the next box to ask

	pauseLength time.Duration // the last pause that ended at pausedUntil; 0 after a loan
}

const never = -time.Hour

// NewLimiter returns the limiter of the box self.
func NewLimiter(self string) *Limiter {
	return &Limiter{
		self:     self,
		replicas: make(map[string]*limited),
	}
}

// SetNonce sets the nonce after which those of loans begin. It must differ between the
// processes of a box: a lender takes a repeated nonce for the same loan.
func (l *Limiter) SetNonce(n uint32) { l.nonce = n }

// SetStart sets the time from which this box and all others list each other. For a
// window after it the box has a share of half of the bound: boxes that all start at
// once send at most one and a half times the bound with what they sent before.
func (l *Limiter) SetStart(now time.Duration) { l.start = now }

// SetLimit records that a replica names a limit, in requests per second.
func (l *Limiter) SetLimit(replica string, perSecond float64) {
	r := l.replicas[replica]
	if r == nil {
		r = &limited{
			wanted:      never,
			granted:     never,
			pausedUntil: never,
		}
		l.replicas[replica] = r
	}
	r.rate = perSecond
	r.named = true
	r.ranked = never
}

// ClearLimit records that a replica names no limit any more. Its recent sends are kept.
func (l *Limiter) ClearLimit(replica string, now time.Duration) {
	if r := l.replicas[replica]; r != nil && r.named {
		r.named = false
		r.ended = now
	}
	for name, r := range l.replicas {
		if !r.named && now-r.ended > limitedRetention {
			delete(l.replicas, name)
		}
	}
}

// Remove removes the record of a replica.
func (l *Limiter) Remove(replica string) { delete(l.replicas, replica) }

// get returns the record of a replica that names a limit, otherwise nil.
func (l *Limiter) get(replica string) *limited {
	r := l.replicas[replica]
	if r == nil || !r.named {
		return nil
	}
	return r
}

// terms returns how many sends of all boxes together a limit allows in which window.
func (r *limited) terms() (bound int, window time.Duration) {
	bound = max(1, int(math.Ceil(r.rate*limitWindow.Seconds())))
	window = maxLimitWindow
	if seconds := float64(bound) / r.rate; seconds < maxLimitWindow.Seconds() {
		window = time.Duration(seconds * float64(time.Second))
	}
	return bound, window + slack
}

// Allow reports whether a send to replica is allowed now, which it always is if the
// replica names no limit. It counts no send. The list names all boxes of the region that
// may be alive or have sent within the last window, including this one.
func (l *Limiter) Allow(replica string, boxes []string, now time.Duration) bool {
	return l.NextAllowed(replica, boxes, now) <= now
}

// NextAllowed returns the earliest time, from now on, at which a send to replica is
// allowed, or may be by a loan.
func (l *Limiter) NextAllowed(replica string, boxes []string, now time.Duration) time.Duration {
	r := l.get(replica)
	if r == nil || r.loanAt(now) >= 0 {
		return now
	}
	next := l.nextOwn(replica, r, boxes, now)
	if next > now && r.loanExpected(now) {
		next = min(next, now+loanWait)
	}
	return next
}

// nextOwn returns when this box may use its own share.
func (l *Limiter) nextOwn(replica string, r *limited, boxes []string, now time.Duration) time.Duration {
	_, window := r.terms()
	share := l.share(replica, r, boxes, now)
	if share == 0 {
		return now + window
	}
	return r.sends.next(share, window, now)
}

// share returns how many sends to replica this box may make in a window.
func (l *Limiter) share(replica string, r *limited, boxes []string, now time.Duration) int {
	if len(boxes) == 0 {
		return 0
	}
	if now-r.ranked >= rankTTL || now < r.ranked || r.boxes != len(boxes) {
		l.updateRank(replica, r, boxes, now)
	}
	bound, window := r.terms()
	if now < l.start+window {
		bound = max(1, bound/startDivisor) // earlier processes of the boxes may have sent as much
	}
	return max(0, (bound-r.rank+r.boxes-1)/r.boxes)
}

func (l *Limiter) updateRank(replica string, r *limited, boxes []string, now time.Duration) {
	r.ranked = now
	r.boxes = len(boxes)
	r.rank = 0
	own := rendezvous.Score(replica, l.self)
	for _, box := range boxes {
		if score := rendezvous.Score(replica, box); score > own || (score == own && box < l.self) {
			r.rank++
		}
	}
}

// Take counts a send to replica if it is allowed. It uses this box's own share before
// loans; with a loan, the result names it.
func (l *Limiter) Take(replica string, boxes []string, now time.Duration) (loan Loan, ok bool) {
	r := l.get(replica)
	if r == nil {
		return Loan{}, true
	}
	if l.nextOwn(replica, r, boxes, now) <= now {
		_, window := r.terms()
		r.sends.trim(now, window)
		r.sends.add(now)
		return Loan{}, true
	}
	i := r.loanAt(now)
	if i < 0 {
		return Loan{}, false
	}
	loan = r.loans[i]
	r.loans = append(r.loans[:i], r.loans[i+1:]...)
	r.borrowed = append(r.borrowed, now)
	return loan, true
}

// MarkSent records that a send allowed by Take at the time taken is written only now.
func (l *Limiter) MarkSent(replica string, taken, now time.Duration) {
	if r := l.replicas[replica]; r != nil {
		if s := r.sends.find(taken); s != nil {
			s.counted = now
		}
	}
}

// MayWrite reports whether a send allowed by Take at the time taken may still be written, as
// Pacer.MayWrite does.
func (l *Limiter) MayWrite(replica string, taken, now time.Duration) bool {
	return l.get(replica) == nil || now < taken+maxWriteDelay
}

// MarkArrived records that a send allowed by Take at the time taken has arrived, or that it
// will not.
func (l *Limiter) MarkArrived(replica string, taken, now time.Duration) {
	if r := l.replicas[replica]; r != nil {
		if s := r.sends.find(taken); s != nil {
			s.answer(now)
		}
	}
}
