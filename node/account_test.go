package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An engine that had gone dark got three requests from each of the boxes that found it
// out by themselves.
func TestABoxTellsOfAnEngineThatDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	b := crowded("box-000", largeBoxes)
	id := replicas("a", 1)[0].ID
	b.recordUsageReport(id, Account{Running: 3, Waiting: 1, Tokens: 900}, true, start, start)
	is.Equal(b.view.Words(start)[0].Requests, 4)
	at := start + 400*time.Millisecond
	b.recordUsageReport(id, Account{}, false, at, at)
	is.True(!b.view.Words(at)[0].Silent) // once says nothing
	at += 400 * time.Millisecond
	b.tells(status("box-001", "a"), at)
	b.recordUsageReport(id, Account{}, false, at, at)
	is.True(b.view.Words(at)[0].Silent)
	at += 400 * time.Millisecond
	b.recordUsageReport(id, Account{Running: 1}, true, at, at)
	is.True(!b.view.Words(at)[0].Silent)
}

func TestABoxThatHearsNobodyCondemnsNoEngine(t *testing.T) {
	is := is.New(t)
	b := crowded("box-000", largeBoxes)
	id := replicas("a", 1)[0].ID
	b.recordUsageReport(id, Account{Running: 3}, true, start, start)
	for n := range 5 {
		at := start + time.Duration(n+3)*400*time.Millisecond
		b.recordUsageReport(id, Account{}, false, at, at)
	}
	is.True(!b.view.Words(start + 2*time.Second)[0].Silent)
}
