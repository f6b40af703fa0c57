package bundle

import (
	"fmt"
	"slices"
	"strings"

	"github.com/havenrudder/havenrudder/wire"
)

// Diff says in words what changes from one bundle to the next, what widens
// residency first.
func Diff(before, after wire.Bundle) []string {
	d := &differ{
		before: NewPolicy(before),
		after:  NewPolicy(after),
	}
	if after.Version <= before.Version {
		d.urgentf("VERSION: %d does not follow %d: no box will take it", after.Version, before.Version)
	}
	d.organisations()
	d.services()
	d.priorities()
	return append(d.urgent, d.lines...)
}

type differ struct {
	before *Policy
	after  *Policy
	urgent []string
	lines  []string
}

func (d *differ) urgentf(format string, args ...any) {
	d.urgent = append(d.urgent, fmt.Sprintf(format, args...))
}

func (d *differ) addf(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

func (d *differ) organisations() {
	for _, o := range d.after.bundle.Organisations {
		old, ok := d.before.orgs[o.Name]
		if !ok {
			d.addf("organisation %s is new: home %s, data may enter %s", o.Name, o.Home, strings.Join(o.Regions, ", "))
			continue
		}
		d.organisation(old, o)
	}
	for _, o := range d.before.bundle.Organisations {
		if _, ok := d.after.orgs[o.Name]; !ok {
			d.addf("organisation %s is gone: its requests are refused", o.Name)
		}
	}
}

func (d *differ) organisation(old, now wire.Organisation) {
	if wider := without(now.Regions, old.Regions); len(wider) > 0 {
		d.urgentf("RESIDENCY WIDENS: data of %s may now enter %s", now.Name, strings.Join(wider, ", "))
	}
	if gone := without(old.Regions, now.Regions); len(gone) > 0 {
		d.addf("data of %s may no longer enter %s", now.Name, strings.Join(gone, ", "))
	}
	if old.Home != now.Home {
		d.addf("home of %s moves from %s to %s", now.Name, old.Home, now.Home)
	}
	if old.Priority != now.Priority {
		d.addf("priority of %s changes from %s to %s", now.Name, old.Priority, now.Priority)
	}
	if old.Share != now.Share {
		d.addf("share of %s changes from %g to %g", now.Name, old.Share, now.Share)
	}
}

func (d *differ) services() {
	for _, s := range d.after.bundle.Services {
		old, ok := d.before.services[s.Name]
		if !ok {
			d.addf("service %s is new in %s", s.Name, strings.Join(s.Regions, ", "))
			continue
		}
		d.service(old, s)
	}
	for _, s := range d.before.bundle.Services {
		if _, ok := d.after.services[s.Name]; !ok {
			d.addf("service %s is gone: its requests are refused", s.Name)
		}
	}
}

func (d *differ) service(old, now wire.Service) {
	if wider := without(now.Regions, old.Regions); len(wider) > 0 {
		d.urgentf("RESIDENCY WIDENS: service %s now serves in %s, for every organisation whose data may enter there", now.Name, strings.Join(wider, ", "))
	}
	if gone := without(old.Regions, now.Regions); len(gone) > 0 {
		d.addf("service %s leaves %s: its traffic there goes to other allowed regions or is refused", now.Name, strings.Join(gone, ", "))
	}
	if loose := without(old.Once, now.Once); len(loose) > 0 {
		d.urgentf("REPEATABLE: calls of %s that may now be repeated: %s", now.Name, strings.Join(loose, ", "))
	}
	if strict := without(now.Once, old.Once); len(strict) > 0 {
		d.addf("calls of %s that may no longer be repeated: %s", now.Name, strings.Join(strict, ", "))
	}
	if old.Model != now.Model {
		d.addf("model of %s changes from %q to %q", now.Name, old.Model, now.Model)
	}
	if old.FirstTokenMs != now.FirstTokenMs || old.DeadlineMs != now.DeadlineMs {
		d.addf("bounds of %s change: first token %d to %d ms, deadline %d to %d ms", now.Name, old.FirstTokenMs, now.FirstTokenMs, old.DeadlineMs, now.DeadlineMs)
	}
}

func (d *differ) priorities() {
	for _, p := range d.after.bundle.Priorities {
		old, ok := d.before.priorities[p.Name]
		switch {
		case !ok:
			d.addf("priority %s is new: rank %d, reserved %g", p.Name, p.Rank, p.ReservedShare)
		case old != p:
			d.addf("priority %s changes: rank %d to %d, reserved %g to %g", p.Name, old.Rank, p.Rank, old.ReservedShare, p.ReservedShare)
		}
	}
}

// without returns the names of list that are not in other.
func without(list, other []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(other, s) })
}
