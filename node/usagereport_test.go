package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against silent engines that each box detects only by its own requests.
func TestAnEngineThatDoesNotAnswerIsReportedAsSilent(t *testing.T) {
	is := is.New(t)
	b := newLargeRegionBox("box-000", largeBoxes)
	id := replicas("a", 1)[0].ID
	b.recordUsageReport(id, UsageReport{Running: 3, Waiting: 1, Tokens: 900}, true, start, start)
	is.Equal(b.view.BusyReports(start)[0].Requests, 4)
	at := start + 400*time.Millisecond
	b.recordUsageReport(id, UsageReport{}, false, at, at)
	is.True(!b.view.BusyReports(at)[0].Unresponsive) // one unanswered request is not enough
	at += 400 * time.Millisecond
	b.receiveStatus(status("box-001", "a"), at)
	b.recordUsageReport(id, UsageReport{}, false, at, at)
	is.True(b.view.BusyReports(at)[0].Unresponsive)
	at += 400 * time.Millisecond
	b.recordUsageReport(id, UsageReport{Running: 1}, true, at, at)
	is.True(!b.view.BusyReports(at)[0].Unresponsive)
}

func TestABoxThatIsCutOffReportsNoEngineAsSilent(t *testing.T) {
	is := is.New(t)
	b := newLargeRegionBox("box-000", largeBoxes)
	id := replicas("a", 1)[0].ID
	b.recordUsageReport(id, UsageReport{Running: 3}, true, start, start)
	for n := range 5 {
		at := start + time.Duration(n+3)*400*time.Millisecond
		b.recordUsageReport(id, UsageReport{}, false, at, at)
	}
	is.True(!b.view.BusyReports(start + 2*time.Second)[0].Unresponsive)
}
