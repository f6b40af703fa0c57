package node

import (
	"time"

	"github.com/havenrudder/havenrudder/ingress"
)

const (
	linkBurst          = 250 * time.Millisecond // of a box's rate that it may use at once
	linkRateInterval   = 200 * time.Millisecond // between two computations of a box's rate
	defaultAnswerBytes = 4 << 10                // of an answer of a service, until one was forwarded
	bytesPerToken      = 5                      // of prompts whose body is not known
	answerBytesWeight  = 1.0 / 16               // of the latest answer in the mean
	bytesPerMegabit    = 1e6 / 8
)

// regionLinks bounds what this box sends to other regions and receives from there. It uses an equal
// part of each link, whatever the other boxes of its region use. Only requests and their answers are
// counted: cached prompts are copied within regions alone.
type regionLinks struct {
	mbps        float64                // of the link to each other region; 0 for no bound
	byRegion    map[string]*regionLink // only where there is a bound
	answerBytes map[string]float64     // mean bytes of forwarded answers, by service
}

// regionLink is the part of the link to one region that this box may use.
type regionLink struct {
	bucket  *byteBucket
	ratedAt time.Duration
}

func newRegionLinks(mbps float64) regionLinks {
	return regionLinks{
		mbps:        mbps,
		byRegion:    make(map[string]*regionLink),
		answerBytes: make(map[string]float64),
	}
}

// linkBucket returns the bucket of the link to a region; nil for a link without a bound.
func (s *state) linkBucket(region string, now time.Duration) *byteBucket {
	if s.links.mbps <= 0 {
		return nil
	}
	l, ok := s.links.byRegion[region]
	if ok && now-l.ratedAt < linkRateInterval {
		return l.bucket
	}
	rate := s.links.mbps * bytesPerMegabit / float64(s.linkBoxes(now))
	burst := rate * linkBurst.Seconds()
	if !ok {
		l = &regionLink{
			bucket: newByteBucket(rate, burst),
		}
		l.bucket.at = now
		s.links.byRegion[region] = l
	}
	l.ratedAt = now
	l.bucket.setRate(rate, burst, now)
	return l.bucket
}

// linkBoxes returns the number of boxes that share the links of the region. Until all boxes of the
// region are recorded it assumes the most there can be, so that boxes that start together don't
// exceed the links.
func (s *state) linkBoxes(now time.Duration) int {
	if _, ok := s.roster.CompleteSince(now); !ok {
		return maxActive
	}
	return s.activeBoxes(now)
}

// linkWait returns the time until a request may be sent to a region; 0 if it may be now. Long ones
// exceed the rest of the bucket, which then stays empty for longer.
func (s *state) linkWait(region string, now time.Duration) time.Duration {
	b := s.linkBucket(region, now)
	if b == nil {
		return 0
	}
	return b.wait(now)
}

// linkLeft returns the part of the bytes to a region that is left, from 0 to 1.
func (s *state) linkLeft(region string, now time.Duration) float64 {
	b := s.linkBucket(region, now)
	if b == nil {
		return 1
	}
	return b.leftShare(now)
}

// takeLink takes the expected bytes of a request that goes to a region.
func (s *state) takeLink(region string, bytes int, now time.Duration) {
	if b := s.linkBucket(region, now); b != nil {
		b.take(bytes, now)
	}
}

// expectedLinkBytes returns the bytes that a request and its answer are expected to take on a link.
func (s *state) expectedLinkBytes(ask *ingress.TargetQuery) int {
	request := ask.Body
	if request == 0 {
		request = bytesPerToken * ask.Request.Prompt
	}
	answer, known := s.links.answerBytes[ask.Request.Service]
	if !known {
		answer = defaultAnswerBytes
	}
	return request + int(answer)
}

// settleLink replaces the expected bytes of a request by those that it took.
func (s *state) settleLink(t *ingress.Target, service string, sent, received int, now time.Duration) {
	if received > 0 {
		mean, known := s.links.answerBytes[service]
		if !known {
			mean = float64(received)
		}
		s.links.answerBytes[service] = mean + answerBytesWeight*(float64(received)-mean)
	}
	if t.Weighing == nil {
		return
	}
	if b := s.linkBucket(t.Region, now); b != nil {
		b.giveBack(t.Weighing.Bytes - sent - received)
	}
}
