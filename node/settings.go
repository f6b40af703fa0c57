// Package node is one box of an installation whose routes and replicas are
// published: it wires the catalog, the boxes' own messages, the decisions and
// the path of requests together. What surrounds it is met through an Adapter.
package node

import (
	"context"
	"net/http"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/ingress"
)

// Bounds are limits that all boxes keep together, and times given to a box.
type Bounds struct {
	StopWithin   time.Duration // from the word to stop until the process is killed
	RetryRatio   float64       // repeated sends allowed for each request
	RetryWindow  time.Duration // over which they are counted
	RetryExtra   int           // repeated sends allowed beside them in a window
	ColdOverage  float64       // what a cold replica's pace may be exceeded by, as a factor
	ColdSlack    float64       // and the requests on top of that, in one second
	DirectoryTTL time.Duration // longest time that an answer to "which box" counts
	RevokeWithin time.Duration // from the word that a key is taken away until no request with it runs, also on a box that is cut off; 0 for no such bound
	QuotaWindow  time.Duration // over which what organisations use is counted
	QuotaOverage float64       // what their quotas may be exceeded by, as a factor
	QuotaSlack   float64       // and the units on top of that, in one window
}

// Settings are the settings of a box.
type Settings struct {
	Box       string            // its name
	Domain    string            // its failure domain
	Region    string            // its region
	Regions   map[string]string // the region of each failure domain
	IP        string
	Callers   string // where callers send requests, IP:port
	Readiness string // where its readiness is asked for
	Seed      string // where boxes that start find it; empty for nowhere
	Directory string // where callers ask which box to use
	Metrics   string // where its figures and its state are shown; empty for nowhere
	Ports     [2]int // first and last port for messages between boxes
	Seeds     []string
	MemoryMB  int // the process is killed above it; 0 for no limit
	Bounds    Bounds
}

// Adapter is how a box meets what surrounds it.
type Adapter struct {
	Codec     ingress.Codec
	Source    func(pool *exchange.Pool, report Report) catalog.Source
	Directory func(which func(host, region string) []string, ttl time.Duration) http.Handler
	Readiness func(ready func() bool) http.Handler
	Changed   func() bool              // whether the settings may have changed since it was asked last
	Reload    func() (Settings, error) // reads the settings again

	// Identify asks the replica at an address which one it is.
	Identify func(ctx context.Context, pool *exchange.Pool, addr, healthPath string) (Identity, error)
	// Account asks the engine at an address what it has to do.
	Account func(ctx context.Context, pool *exchange.Pool, addr string) (Account, error)
}

// Account is what an engine says of its work when it is asked.
type Account struct {
	Born    int64 // when its process started, in Unix milliseconds; 0 where it doesn't say
	Running int
	Waiting int
	Tokens  int // of memory that its requests hold
}

// Report is what a source of the catalog tells beside what it reads.
type Report struct {
	Call    func(kind, result string)    // of every call
	Bad     func(name string, err error) // of a value that can't be used; the last good one stays
	Foreign func(name string, err error) // of an entry that names no replica
}
