package node

import (
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/roster"
)

// loadReportPackets returns the datagrams with the replicas' load reports for other active boxes,
// where boxes are too many to send each other their own loads.
func (s *state) loadReportPackets(now time.Duration, draw func(n int) int) []roster.Packet {
	here := s.active[s.settings.Region]
	if s.roster.SharesLoads() || !here.has(s.settings.Box) {
		return nil
	}
	var addrs []string
	for m := range s.roster.AllServing(s.settings.Region, now) {
		if here.has(m.Status.Box) && m.Status.Peers != "" {
			addrs = append(addrs, m.Status.Peers)
		}
	}
	return s.roster.SendLoadReports(s.compactLoadReports(now), addrs, now, draw)
}

// compactLoadReports returns the replicas' load reports in wire form, the latest first.
func (s *state) compactLoadReports(now time.Duration) []roster.CompactLoadReport {
	var out []roster.CompactLoadReport
	for _, w := range s.view.BusyReports(now) {
		out = append(out, roster.CompactLoadReport{
			Replica:     roster.ReplicaIDOf(w.Replica),
			Age:         now - w.At,
			Requests:    w.Requests,
			Waiting:     w.Waiting,
			Tokens:      w.Tokens,
			Unreachable: w.Unresponsive,
		})
	}
	return out
}

// receiveLoadReports records the load reports that another box forwards.
func (s *state) receiveLoadReports(list []roster.CompactLoadReport, now time.Duration) {
	for _, w := range list {
		id, ok := s.replicaIDs.start(w.Replica)
		if !ok {
			continue
		}
		s.view.RecordReport(id, placement.LoadReport{
			Requests:     w.Requests,
			Waiting:      min(w.Waiting, w.Requests),
			Tokens:       w.Tokens,
			Unresponsive: w.Unreachable,
			At:           now - w.Age,
		})
	}
}

// replicaIDs maps the short ids on the wire to the incarnations of the region's replicas.
type replicaIDs map[roster.ReplicaID][]string

func (n replicaIDs) add(start string) {
	if id := roster.ReplicaIDOf(start); !slices.Contains(n[id], start) {
		n[id] = append(n[id], start)
	}
}

func (n replicaIDs) drop(start string) {
	id := roster.ReplicaIDOf(start)
	n[id] = slices.DeleteFunc(n[id], func(s string) bool { return s == start })
	if len(n[id]) == 0 {
		delete(n, id)
	}
}

// start returns the incarnation of a short id; ok is false if there is none, or several have it.
func (n replicaIDs) start(id roster.ReplicaID) (start string, ok bool) {
	list := n[id]
	if len(list) != 1 {
		return "", false
	}
	return list[0], true
}
