package placement_test

import (
	"fmt"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/pacing"
	"github.com/havenrudder/havenrudder/placement"
)

const (
	start     = time.Minute    // of the test clock; long after pacers started
	longAfter = 10 * time.Hour // later than all timeouts
	prompt    = 4000           // tokens of a typical prompt
	shared    = 3000           // of these in a shared segment
)

var terms = pacing.Limit{
	Overage: 1.5,
	Slack:   3,
}

// policy returns a policy with a service of engines, a plain one and one without a limit on
// requests to cold replicas.
func policy() catalog.Policy {
	return catalog.Policy{
		Version: 1,
		Services: []catalog.Service{{
			Name:          "engine",
			ColdFor:       5000,
			ColdPerSecond: 2,
			Engine: &catalog.Engine{
				Slots:  8,
				Memory: 100_000,
			},
		}, {
			Name:          "plain",
			ColdFor:       5000,
			ColdPerSecond: 2,
		}, {
			Name: "steady",
		}},
	}
}

func replicas(service string, n int) []catalog.Replica {
	var out []catalog.Replica
	for i := range n {
		out = append(out, catalog.Replica{
			ID:       fmt.Sprintf("%s-%d", service, i),
			Service:  service,
			Addr:     fmt.Sprintf("127.0.0.1:%d", 1+i),
			Domain:   "hall",
			Region:   "north",
			Slots:    8,
			Revision: 1,
		})
	}
	return out
}

type box struct {
	*placement.View
	content *catalog.Content
	rev     int64
}

func newBox(name, domain string, all ...catalog.Replica) *box {
	b := &box{
		View:    placement.NewView("north", domain, pacing.New(name, terms)),
		content: catalog.NewContent(),
	}
	b.SetTable(catalog.NewTable(policy()))
	b.publish(start, nil, all...)
	return b
}

// publish replaces the catalog's content and applies it.
func (b *box) publish(now time.Duration, evacuated []string, all ...catalog.Replica) []placement.Change {
	b.rev++
	b.content.Apply(catalog.Update{
		Snapshot: &catalog.Snapshot{
			Revision:  b.rev,
			Replicas:  all,
			Evacuated: evacuated,
		},
		Revision: b.rev,
		Settled:  true,
	})
	return b.Apply(b.content, now)
}

var alone = []string{"a"}

func newRequest(service, key string) placement.Request {
	return placement.Request{
		Service: service,
		Key:     key,
	}
}

// newSharedRequest returns a request whose prompt starts with a shared segment.
func newSharedRequest(part, key string) placement.Request {
	return placement.Request{
		Service:      "engine",
		Key:          key,
		Prompt:       prompt,
		AnswerTokens: 50,
		Segments: []placement.Segment{{
			ID:     part,
			Tokens: shared,
		}},
	}
}
