// Package quota keeps what organisations use within their quotas over all boxes, with nothing
// shared that lasts. In every sliding window the units of an organisation that boxes let through
// come to at most what its quota lets through in one, and what the steps below add.
//
// A region has a few banks, boxes that the others agree on by rendezvous. A bank grants credit to
// the boxes of its region, and a box lets a request through only against credit, which it takes
// ahead of its need, so that few requests wait for a question to the bank.
//
// # Why the sum holds
//
// A bank grants in a window up to its share x its part of the quota, and in each round of words
// between regions up to its share of what all have left. The shares of regions add up to 1, by
// what callers ask for in each: a region that isn't heard keeps its share. The part of a bank is
// that of its region's boxes that ask it: where boxes don't agree on who is a bank, or are cut off
// and each is its own, the parts add up to 1 still. Boxes tell what they used with each question, so
// that a bank which has just become one knows it. What boxes used before their own start nobody
// knows: a bank grants as much of a window's units as has passed of a window since then.
//
// The steps beside: one request may take an account of each bank below zero; credit that a box
// holds was granted before the window, some tenths of a second of what its callers ask for; words
// between regions are a round old, in which more may be granted than all have left; a box that is
// cut off uses its part while its bank still counts it.
package quota

import (
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

const (
	aheadFor    = 500 * time.Millisecond  // of what callers ask for that a box takes ahead: two questions to the bank may be lost
	creditFor   = 2 * time.Second         // after which credit that wasn't used is given up
	heardFor    = 1300 * time.Millisecond // that a box counts as heard after its last question, of which two come a second; a box that is cut off and its bank both use its part meanwhile
	regionFor   = 1500 * time.Millisecond // the same of a region: two rounds; its share and those of others go apart meanwhile
	demandHalf  = time.Second             // in which half of what was asked is forgotten
	aheadPart   = 0.25                    // of an account that one box gets ahead
	aheadTimes  = 2.0                     // and as a multiple of what comes in meanwhile for each box; while more is asked for, what one holds others lack
	regionFloor = 0.1                     // of the share of a region that doesn't hang on what its callers ask for
	shortWait   = 100 * time.Millisecond  // the least that a caller is told to stay away
	longWait    = 5 * time.Second         // the most
	again       = 50 * time.Millisecond   // for which a box takes a bank's refusal for the answer to further requests
	step        = 250 * time.Millisecond  // in which grants are counted together: a window is at most so much longer
)

// Terms are the quota of an organisation over all boxes.
type Terms struct {
	Units  float64       // that are let through in a window
	Window time.Duration // sliding
}

// PerSecond returns what the quota bears for good.
func (t Terms) PerSecond() float64 {
	if t.Window <= 0 {
		return 0
	}
	return t.Units / t.Window.Seconds()
}

// Use is what callers of a region ask for of an organisation's quota, and what they got.
type Use struct {
	Demand  float64 `json:"demand"`  // units a second
	Granted float64 `json:"granted"` // in the last window
}

// Cost returns the units that a request takes, of which the tokens are known or 0.
func Cost(q catalog.Quota, tokens int) float64 {
	switch {
	case q.Unit != catalog.Tokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return q.Plain
}

// Ask is what a box asks a bank for on behalf of an organisation.
type Ask struct {
	Organisation string  `json:"org"`
	Need         float64 `json:"need,omitempty"`  // units that a request which waits lacks
	Ahead        float64 `json:"ahead,omitempty"` // units that the box expects to need soon
	Asked        float64 `json:"asked,omitempty"` // units that callers asked for since the last question
	Used         float64 `json:"used,omitempty"`  // units that the box let through in the last window
}

// Asker is a box that asks a bank.
type Asker struct {
	Box string        `json:"box"`
	Up  time.Duration `json:"up"` // since its start, from when on it knows what it used
}

// Grant is a bank's answer to an Ask.
type Grant struct {
	Organisation string         `json:"org"`
	Units        float64        `json:"units,omitempty"`
	Wait         catalog.Millis `json:"wait_ms,omitempty"`  // until a caller that was turned away should come back; 0 where the need is met
	Again        catalog.Millis `json:"again_ms,omitempty"` // until the box may ask again
}
