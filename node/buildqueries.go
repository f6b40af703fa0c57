package node

import (
	"context"
	"maps"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/origin"
	"github.com/havenrudder/havenrudder/roster"
)

const (
	queryGroups      = recordGroups + 1       // the group of the box that began a stream is not known
	queryBoxes       = 2                      // of each group; a box may have joined or left since the record was sent
	queryInterval    = 250 * time.Millisecond // a round trip to another region takes 160 ms
	queryRounds      = 2                      // datagrams may be lost
	soleBuildTries   = 2                      // timeouts of a route within which callers take its streams up
	minSoleBuildTime = 10 * time.Second       // the same for routes with short timeouts
	maxSoleBuildAge  = 3 * time.Second        // of a catalog copy from which other boxes are answered; followers read after 2.2 s
	maxUnconfirmed   = 9 * time.Second        // between two confirmations of a copy that misses no version in between; some boxes read after 7.5 s
)

// buildQuery is a pending query for the software version of a stream.
type buildQuery struct {
	ask      ingress.BuildQuery
	packets  []roster.Packet
	answered map[string]bool // addresses of boxes whose answers left it open
	over     chan struct{}   // closed when the version is known, or no box knows it
	build    catalog.BuildID // 0 until it is known
	alone    catalog.BuildID // the only version of the service, as a box says; 0 for none
}

// copyTimes are the times for which the copy of the catalog tells the software versions in service.
type copyTimes struct {
	synced int64         // revision that a read found which began after the request came; 0 for none
	age    time.Duration // since the copy was confirmed
	held   time.Duration // for which it has been confirmed at least every maxUnconfirmed
}

// end ends the query, once.
func (q *buildQuery) end(build catalog.BuildID) {
	select {
	case <-q.over:
	default:
		q.build = build
		close(q.over)
	}
}

// startBuildQuery returns the software version at which a stream began if this box knows it, or
// else a query of other boxes; neither if there is no box to ask.
func (s *state) startBuildQuery(ask ingress.BuildQuery, at copyTimes, now time.Duration) (catalog.BuildID, *buildQuery) {
	if ask.Resumes == "" && !s.hasSynced(at.synced) {
		return 0, nil
	}
	if build := s.knownBuild(ask, at, now); build != 0 {
		return build, nil
	}
	if ask.Resumes == "" && !s.hasSoleBuild(ask.Service) {
		return 0, nil
	}
	d := queryDatagram(ask)
	if q, ok := s.builds.queries[d.Stream]; ok {
		return 0, q // of another request that takes up the same stream
	}
	q := &buildQuery{
		ask:      ask,
		packets:  packetsTo(s.buildHolders(d.Stream, queryGroups, queryBoxes, now), d.Encode()),
		answered: make(map[string]bool),
		over:     make(chan struct{}),
	}
	if len(q.packets) == 0 {
		return 0, nil
	}
	s.builds.queries[d.Stream] = q
	return 0, q
}

// hasSynced reports whether the copy shows all software versions that were in service when a
// request came: it has the revision that a read found which began later.
func (s *state) hasSynced(revision int64) bool {
	return revision > 0 && s.content.NewestRevision() >= revision && !s.content.IsRestored()
}

// queryDatagram returns the question for the stream that a caller names, or else for its service.
func queryDatagram(ask ingress.BuildQuery) origin.Datagram {
	if ask.Resumes != "" {
		return origin.Datagram{
			Operation: origin.AskStream,
			Stream:    origin.StreamOf(ask.Resumes),
		}
	}
	return origin.Datagram{
		Operation: origin.AskService,
		Stream:    origin.StreamOf(ask.Request),
		Service:   origin.ServiceOf(ask.Service),
	}
}

// knownBuild returns the software version at which a stream began if this box knows it.
func (s *state) knownBuild(ask ingress.BuildQuery, at copyTimes, now time.Duration) catalog.BuildID {
	if ask.Resumes != "" {
		build, _ := s.builds.records.Find(origin.StreamOf(ask.Resumes), now)
		return build
	}
	if use := s.content.BuildUse(ask.Service); min(use.Sole, at.held) >= soleBuildTime(ask.Route) {
		return use.Build
	}
	return 0
}

// hasSoleBuild reports whether a service has one software version alone. A caller that does not
// name its stream goes on only there.
func (s *state) hasSoleBuild(service string) bool {
	use := s.content.BuildUse(service)
	return use.Build != 0 && use.Sole > 0
}

// buildAnswer returns what this box answers of the software versions of a service: one of them and for
// how long it has been the only one, or 0 if the copy of the catalog is old or too young to tell.
func (s *state) buildAnswer(service string, at copyTimes) (catalog.BuildID, time.Duration) {
	use := s.content.BuildUse(service)
	sole := min(use.Sole, at.held)
	isYoung := use.Sole > 0 && sole < minSoleBuildTime && (use.Sole == use.Since || at.held < use.Sole)
	if at.age > maxSoleBuildAge || isYoung {
		return 0, 0
	}
	return use.Build, sole
}

// soleBuildTime returns for how long a service must have had one software version alone, so that
// all streams of a route that callers may take up have it.
func soleBuildTime(route *catalog.Route) time.Duration {
	return max(minSoleBuildTime, soleBuildTries*route.Timeout.Duration())
}

// receiveBuild applies a datagram on a software version, and returns the answer to a query.
func (s *state) receiveBuild(d origin.Datagram, from string, at copyTimes, now time.Duration) (answer *origin.Datagram) {
	switch d.Operation {
	case origin.Record:
		s.builds.records.Add(d.Stream, d.Build, now)
	case origin.AskStream:
		build, _ := s.builds.records.Find(d.Stream, now)
		return &origin.Datagram{
			Operation: origin.StreamAnswer,
			Stream:    d.Stream,
			Build:     build,
		}
	case origin.AskService:
		build, sole := s.buildAnswer(s.serviceOf(d.Service), at)
		return &origin.Datagram{
			Operation: origin.ServiceAnswer,
			Stream:    d.Stream,
			Build:     build,
			For:       sole,
		}
	case origin.StreamAnswer, origin.ServiceAnswer:
		s.receiveBuildAnswer(d, from)
	}
	return nil
}

// serviceOf returns the name of a service; empty if there is none.
func (s *state) serviceOf(id uint64) string {
	if s.table == nil {
		return ""
	}
	for _, svc := range s.table.Policy().Services {
		if origin.ServiceOf(svc.Name) == id {
			return svc.Name
		}
	}
	return ""
}

func (s *state) receiveBuildAnswer(d origin.Datagram, from string) {
	q, ok := s.builds.queries[d.Stream]
	if !ok || (d.Operation == origin.ServiceAnswer) != (q.ask.Resumes == "") {
		return
	}
	if d.Operation == origin.StreamAnswer && d.Build != 0 {
		q.end(d.Build)
		return
	}
	if d.Build != 0 {
		q.alone = d.Build
		if d.Build != s.content.BuildUse(q.ask.Service).Build || d.For < soleBuildTime(q.ask.Route) {
			q.end(0) // another version was in service of late
			return
		}
	}
	q.answered[from] = true
	if len(q.answered) >= len(q.packets) {
		q.end(q.alone)
	}
}

// findBuild returns the software version at which a stream began that a caller takes up; 0 if no
// box that this one reaches knows it.
func (n *Node) findBuild(ctx context.Context, ask ingress.BuildQuery) (build catalog.BuildID) {
	clock.Check()
	var q *buildQuery
	synced := n.syncFor(ctx, ask)
	_ = n.state.Do(func(s *state) { build, q = s.startBuildQuery(ask, n.copyTimes(synced), n.now()) }) // it fails only when the box has ended
	if q == nil {
		return build
	}
	for range queryRounds {
		n.sendPackets(q.packets)
		if isOver(ctx, q.over) {
			break
		}
	}
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		q.end(q.alone)
		build = q.build
		maps.DeleteFunc(s.builds.queries, func(_ origin.StreamID, o *buildQuery) bool { return o == q })
	})
	return build
}

// syncFor makes the copy of the catalog show all software versions that are in service, if a stream
// that its caller does not name may go on. It returns the newest revision; 0 if that is not known in time.
func (n *Node) syncFor(ctx context.Context, ask ingress.BuildQuery) int64 {
	if ask.Resumes != "" {
		return 0
	}
	hasSole := false
	_ = n.state.Do(func(s *state) { hasSole = s.hasSoleBuild(ask.Service) }) // it fails only when the box has ended
	if !hasSole {
		return 0
	}
	return n.feed.Sync(ctx)
}

// copyTimes returns the times for which the copy tells the software versions in service.
func (n *Node) copyTimes(synced int64) copyTimes {
	return copyTimes{
		synced: synced,
		age:    n.catalogAge(),
		held:   n.now() - time.Duration(n.confirmedSince.Load()),
	}
}

// isOver waits for the end of a query for queryInterval, and reports whether to wait no longer.
func isOver(ctx context.Context, over <-chan struct{}) bool {
	timer := time.NewTimer(queryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return true
	case <-over:
		return true
	case <-timer.C:
		return false
	}
}

func (n *Node) receiveBuild(buf []byte, from string) {
	d, err := origin.Decode(buf)
	if err != nil {
		n.recordMalformedDatagram(from, err)
		return
	}
	clock.Check()
	var answer *origin.Datagram
	_ = n.state.Do(func(s *state) { answer = s.receiveBuild(d, from, n.copyTimes(0), n.now()) }) // it fails only when the box has ended
	if answer != nil {
		n.sendPacket(roster.Packet{
			Addr: from,
			Buf:  answer.Encode(),
		})
	}
}
