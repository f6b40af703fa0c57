package ticket

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"

	"github.com/havenrudder/havenrudder/wire"
)

// witnessModel holds what a witness and its successors of the same name have
// promised: a call told "not run" must never be announced afterwards, nor one
// announced be told "not run".
type witnessModel struct {
	witness   *Witness
	now       time.Duration // of the incarnation
	inc       int
	bound     int
	tickets   []wire.Ticket
	announced map[string]bool
	sealed    map[string]bool
}

func (m *witnessModel) restart() {
	m.inc++
	m.now = 0
	m.witness = NewWitness("w", m.inc, m.bound)
}

func (m *witnessModel) issue(t *rapid.T) {
	stamp := time.Duration(rapid.Int64Range(0, m.now.Milliseconds()).Draw(t, "heard")) * time.Millisecond
	m.tickets = append(m.tickets, wire.Ticket{
		ID:         string(rune('a' + len(m.tickets))),
		Owner:      "o",
		Inc:        1,
		Witness:    "w",
		WitnessInc: m.inc,
		WitnessMs:  int(stamp.Milliseconds()),
		LifeMs:     rapid.IntRange(1000, 20_000).Draw(t, "life"),
	})
}

func (m *witnessModel) pick(t *rapid.T) wire.Ticket {
	if len(m.tickets) == 0 {
		t.Skip("no ticket")
	}
	return rapid.SampledFrom(m.tickets).Draw(t, "ticket")
}

func TestAWitnessNeverSaysNotRunOfACallThatMayRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &witnessModel{
			bound:     rapid.IntRange(1, 4).Draw(t, "bound"),
			announced: make(map[string]bool),
			sealed:    make(map[string]bool),
		}
		m.restart()
		t.Repeat(map[string]func(*rapid.T){
			"issue":   m.issue,
			"restart": func(*rapid.T) { m.restart() },
			"wait": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(0, 30_000).Draw(t, "ms")) * time.Millisecond
			},
			"sweep": func(*rapid.T) { m.witness.Sweep(m.now) },
			"announce": func(t *rapid.T) {
				tk := m.pick(t)
				if m.witness.Announce(tk, m.now) {
					m.announced[tk.ID] = true
				}
			},
			"seal": func(t *rapid.T) {
				tk := m.pick(t)
				if m.witness.Seal(tk, m.now) == wire.RanNotRun {
					m.sealed[tk.ID] = true
				}
			},
			"": func(t *rapid.T) {
				for id := range m.sealed {
					if m.announced[id] {
						t.Fatalf("ticket %s was announced and told not run", id)
					}
				}
				if m.witness.Len() > m.bound {
					t.Fatalf("%d marks, bound %d", m.witness.Len(), m.bound)
				}
			},
		})
	})
}
