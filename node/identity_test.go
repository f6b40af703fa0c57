package node

import (
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

func TestOnlyTheMemoryOfEnginesShowsTheirService(t *testing.T) {
	is := is.New(t)
	service := func(name string, memory int) catalog.Service {
		s := catalog.Service{
			Name: name,
		}
		if memory > 0 {
			s.Engine = &catalog.Engine{
				Memory: memory,
			}
		}
		return s
	}
	n := &Node{}
	n.table.Store(catalog.NewTable(catalog.Policy{
		Version: 1,
		Services: []catalog.Service{
			service("chat", 1000),
			service("twin-1", 2000),
			service("twin-2", 2000),
			service("orders", 0),
		},
	}))
	proves := func(name string, memory int) bool {
		return n.provesService(n.table.Load().Service(name), Identity{
			ID:           "i-1",
			MemoryTokens: memory,
		})
	}
	is.True(proves("chat", 1000))
	is.True(!proves("chat", 2000))
	is.True(!proves("chat", 0))
	is.True(!proves("twin-1", 2000)) // it may be one of the other service
	is.True(!proves("orders", 0))
	is.True(!proves("orders", 1000))
}
