package pacing

import (
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

const (
	loanTTL     = 500 * time.Millisecond // from the request for a loan until it may no longer be used
	loanMargin  = 50 * time.Millisecond  // by which a borrower gives it up earlier
	loanWait    = 25 * time.Millisecond  // for an answer of a lender
	minAskPause = 100 * time.Millisecond // without further requests after no lender has answered; doubles up to maxAskPause
	maxAskPause = 200 * time.Millisecond
	demandTTL   = time.Second // for which a box with requests of its own lends nothing
	askFanout   = 3           // boxes that are asked for one send
	maxAsked    = 48          // requests for loans of one replica without an answer
	noLoan      = -1
)

// LoanID identifies a loan at its lender.
type LoanID struct {
	Borrower string
	Nonce    uint32
}

// Loan is one send of another box's share.
type Loan struct {
	Replica string
	Lender  string
	Nonce   uint32
	expiry  time.Duration
}

// IsZero reports whether there is no loan.
func (l Loan) IsZero() bool { return l.Lender == "" }

// Expired reports whether a request by the loan may no longer be written.
func (l Loan) Expired(now time.Duration) bool { return !l.IsZero() && now >= l.expiry }

// ask is a request for a loan that has no answer yet.
type ask struct {
	lender string
	nonce  uint32
	at     time.Duration
}

// loanAt returns the index of the usable loan that ends first, or noLoan.
func (r *limited) loanAt(now time.Duration) int {
	best := noLoan
	if !r.mayBorrow(now) {
		return best
	}
	for i, l := range r.loans {
		if !l.Expired(now) && (best < 0 || l.expiry < r.loans[best].expiry) {
			best = i
		}
	}
	return best
}

// mayBorrow reports whether a further send by a loan keeps the limit. Lenders may go by an earlier,
// higher one, so a box sends no more by loans than the limit allows that it has recorded itself.
func (r *limited) mayBorrow(now time.Duration) bool {
	bound, window := r.terms()
	r.borrowed = slices.DeleteFunc(r.borrowed, func(at time.Duration) bool { return at+window <= now })
	return len(r.borrowed) < bound
}

// loanExpected reports whether a loan may be granted within loanWait.
func (r *limited) loanExpected(now time.Duration) bool {
	return now >= r.pausedUntil && r.mayBorrow(now)
}

// Ask records that a request could not be sent to replica, and returns the requests for
// loans to send to other boxes. The list is that of Allow, or of the boxes that this box
// knows of.
func (l *Limiter) Ask(replica string, boxes []string, now time.Duration) []Loan {
	r := l.get(replica)
	if r == nil {
		return nil
	}
	r.wanted = now
	r.asked = slices.DeleteFunc(r.asked, func(a ask) bool { return now-a.at >= loanTTL })
	if now < r.pausedUntil || len(r.asked) >= maxAsked {
		return nil
	}
	unanswered := func(a ask) bool { return now-a.at >= loanWait && r.granted < a.at }
	if slices.ContainsFunc(r.asked, unanswered) {
		r.pause(now)
		return nil
	}
	lenders := l.lendersOf(replica, r, boxes)
	var out []Loan
	for range min(askFanout, len(lenders)) {
		lender := lenders[r.cursor%len(lenders)]
		r.cursor++
		l.nonce++
		r.asked = append(r.asked, ask{
			lender: lender,
			nonce:  l.nonce,
			at:     now,
		})
		out = append(out, Loan{
			Replica: replica,
			Lender:  lender,
			Nonce:   l.nonce,
		})
	}
	if len(out) == 0 {
		r.pause(now)
	}
	return out
}

// pause stops requests for loans for a time, as nobody lends.
func (r *limited) pause(now time.Duration) {
	r.pauseLength = min(max(2*r.pauseLength, minAskPause), maxAskPause)
	r.pausedUntil = now + r.pauseLength
}

// lendersOf returns the other boxes that have a share of a limit.
func (l *Limiter) lendersOf(replica string, r *limited, boxes []string) []string {
	bound, _ := r.terms()
	top := rendezvous.Top(replica, boxes, min(bound, len(boxes)))
	return slices.DeleteFunc(slices.Clone(top), func(name string) bool { return name == l.self })
}

// Lend reports whether this box lends one send of its share of a replica's limit. A
// repeated request for the same loan has the same answer. The list is that of Allow.
func (l *Limiter) Lend(replica string, id LoanID, boxes []string, now time.Duration) bool {
	r := l.get(replica)
	if r == nil || now-r.wanted < demandTTL {
		return false
	}
	if r.sends.lent(id) != nil {
		return true
	}
	if l.nextOwn(replica, r, boxes, now) > now {
		return false
	}
	_, window := r.terms()
	r.sends.trim(now, window)
	r.sends.sends = append(r.sends.sends, sent{
		taken:   now,
		counted: now + loanTTL,
		loan:    id,
	})
	return true
}

// Granted records a loan of another box. It returns false if the loan can't be used, so
// that the lender should get it back.
func (l *Limiter) Granted(replica, lender string, nonce uint32, now time.Duration) bool {
	r := l.get(replica)
	if r == nil {
		return false
	}
	i := slices.IndexFunc(r.asked, func(a ask) bool { return a.nonce == nonce && a.lender == lender })
	if i < 0 {
		return true // a repeated answer
	}
	expiry := r.asked[i].at + loanTTL - loanMargin
	r.asked = slices.Delete(r.asked, i, i+1)
	if now >= expiry {
		return false
	}
	r.granted = now
	r.pauseLength = 0
	r.loans = append(r.loans, Loan{
		Replica: replica,
		Lender:  lender,
		Nonce:   nonce,
		expiry:  expiry,
	})
	return true
}

// Report records what became of a loan: the borrower has sent a request and it has
// arrived, or it has not sent one and won't.
func (l *Limiter) Report(replica string, id LoanID, used bool, now time.Duration) {
	r := l.replicas[replica]
	if r == nil {
		return
	}
	s := r.sends.lent(id)
	switch {
	case s == nil:
	case used:
		s.answered = true
		s.counted = now
	default:
		r.sends.sends = slices.DeleteFunc(r.sends.sends, func(s sent) bool { return s.loan == id })
	}
}

// TakeExpired returns the loans that were not used in time, and forgets them.
func (l *Limiter) TakeExpired(now time.Duration) (out []Loan) {
	for _, r := range l.replicas {
		r.loans = slices.DeleteFunc(r.loans, func(loan Loan) bool {
			expired := loan.Expired(now) || !r.named
			if expired {
				out = append(out, loan)
			}
			return expired
		})
	}
	return out
}

// lent returns the loan of an ID that has no report yet, or nil.
func (h *history) lent(id LoanID) *sent {
	for i := range h.sends {
		if s := &h.sends[i]; s.loan == id && !s.answered {
			return s
		}
	}
	return nil
}
