package pacing

import (
	"slices"
	"time"
)

// recentList extends a list of boxes by those that were on it until recently.
type recentList struct {
	boxes  []string // the last list
	former []formerBox
}

// formerBox is a box that is no longer listed.
type formerBox struct {
	name  string
	since time.Duration // the first list without it
}

// update records a list and returns it with the boxes that were listed recently enough to have
// sends under way. An empty list stays empty.
func (l *recentList) update(boxes []string, now time.Duration) []string {
	if len(boxes) == 0 {
		return nil
	}
	if !sameList(l.boxes, boxes) {
		l.replace(boxes, now)
	}
	l.former = slices.DeleteFunc(l.former, func(f formerBox) bool { return f.since+handover <= now })
	if len(l.former) == 0 {
		return boxes
	}
	out := slices.Clone(boxes)
	for _, f := range l.former {
		out = append(out, f.name)
	}
	return out
}

// replace sets the list, and records the boxes that it lacks.
func (l *recentList) replace(boxes []string, now time.Duration) {
	l.former = slices.DeleteFunc(l.former, func(f formerBox) bool { return slices.Contains(boxes, f.name) })
	for _, name := range l.boxes {
		if !slices.Contains(boxes, name) {
			l.former = append(l.former, formerBox{
				name:  name,
				since: now,
			})
		}
	}
	l.boxes = boxes
}

// sameList reports whether two lists are equal, without comparing names if they are one slice.
func sameList(a, b []string) bool {
	if len(a) == len(b) && &a[0] == &b[0] {
		return true
	}
	return slices.Equal(a, b)
}
