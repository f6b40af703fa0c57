package node

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/origin"
	"github.com/havenrudder/havenrudder/roster"
)

const (
	recordCopyRate  = 18.0 // records per second that a box sends, while each stream's goes to one box at least
	recordCopyBurst = 90.0 // records at once
	recordGroups    = 2    // groups of boxes besides the own one that receive a record
)

// buildState is what a box records of the software versions of streams.
type buildState struct {
	records  *origin.Records
	copies   float64       // records that may be sent now
	copiesAt time.Duration // when that was computed
	queries  map[origin.StreamID]*buildQuery
}

func newBuildState() buildState {
	return buildState{
		records: origin.NewRecords(),
		copies:  recordCopyBurst,
		queries: make(map[origin.StreamID]*buildQuery),
	}
}

// hasBuild reports whether a replica that a request may reach, in this region or another, has the
// software version at which its stream began.
func (s *state) hasBuild(ask ingress.TargetQuery) bool {
	build := ask.Request.Build
	if ask.Route.Allows(s.settings.Region) && s.view.HasBuild(build) {
		return true
	}
	return !ask.Forwarded && s.content.HasBuildIn(build, func(region string) bool {
		return region != s.settings.Region && ask.Route.Allows(region)
	})
}

// recordBuild records the software version at which a request began a stream, and returns the
// datagrams for the boxes that keep it should this box end.
func (s *state) recordBuild(request string, build catalog.BuildID, now time.Duration) (out []roster.Packet) {
	stream := origin.StreamOf(request)
	s.builds.records.Add(stream, build, now)
	d := origin.Datagram{
		Operation: origin.Record,
		Stream:    stream,
		Build:     build,
	}
	buf := d.Encode()
	for n, addr := range s.buildHolders(stream, recordGroups, 1, now) {
		if s.takeRecordCopy(now) || n == 0 {
			out = append(out, roster.Packet{
				Addr: addr,
				Buf:  buf,
			})
		}
	}
	return out
}

// takeRecordCopy reports whether a record may be sent to one more box.
func (s *state) takeRecordCopy(now time.Duration) bool {
	b := &s.builds
	b.copies = min(b.copies+(now-b.copiesAt).Seconds()*recordCopyRate, recordCopyBurst)
	b.copiesAt = now
	if b.copies < 1 {
		return false
	}
	b.copies--
	return true
}

// buildHolders returns the addresses of the boxes that keep the record of a stream: the first
// ones by rank in each of the first groups, those of the own group last.
func (s *state) buildHolders(stream origin.StreamID, groups, boxes int, now time.Duration) (out []string) {
	byGroup, own := s.recordGroups(now)
	key := strconv.FormatUint(uint64(stream), 16)
	others := slices.DeleteFunc(slices.Collect(maps.Keys(byGroup)), func(g string) bool { return g == own })
	for _, group := range append(rendezvous.Top(key, others, groups), own) {
		for _, box := range rendezvous.Top(key, byGroup[group], boxes) {
			out = append(out, s.roster.Address(box))
		}
	}
	return out
}

// recordGroups returns the serving boxes by groups that fail apart from each other, without this
// one, and its own group: regions, or failure domains where there is one region alone.
func (s *state) recordGroups(now time.Duration) (byGroup map[string][]string, own string) {
	regions := s.serversBy(func(m *roster.Member) string { return m.Status.Region }, now)
	if _, same := regions[s.settings.Region]; len(regions) > 1 || (len(regions) == 1 && !same) {
		return regions, s.settings.Region
	}
	return s.serversBy(func(m *roster.Member) string { return m.Status.Domain }, now), s.settings.Domain
}

// serversBy returns the other serving boxes by a group.
func (s *state) serversBy(group func(*roster.Member) string, now time.Duration) map[string][]string {
	out := make(map[string][]string)
	for m := range s.roster.AllServing("", now) {
		out[group(m)] = append(out[group(m)], m.Status.Box)
	}
	return out
}

// recordBuild records the software version at which a request begins a stream.
func (n *Node) recordBuild(request string, build catalog.BuildID) {
	var out []roster.Packet
	_ = n.state.Do(func(s *state) { out = s.recordBuild(request, build, n.now()) }) // it fails only when the box has ended
	n.sendPackets(out)
}
