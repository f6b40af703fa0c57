package catalog_test

import (
	"encoding/json"
	"testing"

	"github.com/havenrudder/havenrudder/catalog"
)

// FuzzChangeSet looks for updates that crash the receiving box, or make its copy hold a replica
// that can't be sent on.
func FuzzChangeSet(f *testing.F) {
	for _, data := range []string{
		`{"changes":[{"revision":3,"replica":{"id":"a","born":100,"service":"s","addr":"x:1"}}],"revision":3}`,
		`{"changes":[{"revision":3,"gone":"a"},{"revision":4}],"doubts":[{"replica":"a","born":1,"revision":2,"left_ms":5}],"revision":3}`,
		`{"snapshot":{"revision":9,"replicas":[{"id":"b","service":"s","addr":"x:1","born":4398046511104}],"evacuated":["hall"]},"revision":9}`,
		`{"snapshot":{"revision":-1,"replicas":null}}`, `{"changes":[{"replica":{"id":"a","born":-1,"service":"s","addr":"x:1"}}]}`, `{`, `null`,
	} {
		f.Add([]byte(data))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var news catalog.ChangeSet
		if json.Unmarshal(data, &news) != nil {
			return
		}
		c := catalog.NewContent()
		c.Apply(snapshot(5, true, startedReplica("a", 50, 2), plainReplica("b", 1)))
		c.Apply(news.Update())
		c.ConfirmRemovals()
		for _, r := range c.Replicas() {
			if r.ID == "" || r.Addr == "" || r.StartedAt < 0 || r.StartedAt > catalog.MaxStartedAt {
				t.Fatalf("%+v", r)
			}
		}
		overTheWire(t, c.ChangesSince(0))
		overTheWire(t, c.ChangesSince(news.Revision))
	})
}
