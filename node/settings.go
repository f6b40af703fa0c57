// Package node runs one box: it wires the catalog, the gossip between boxes, the placement
// of requests and the request path together. It reaches the platform through an Adapter.
package node

import (
	"context"
	"net/http"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/placement"
)

// Bounds are limits that all boxes keep together, and time limits of a box.
type Bounds struct {
	StopTimeout       time.Duration // from the order to stop until the process is killed
	RetryRatio        float64       // retries allowed for each request
	RetryWindow       time.Duration // over which retries are counted
	RetryExtra        int           // additional retries allowed in a window
	ColdRateFactor    float64       // factor by which a cold replica's rate limit may be exceeded
	ColdRateExtra     float64       // requests on top of that, in one second
	DirectoryTTL      time.Duration // maximum TTL of a directory answer
	RevocationTimeout time.Duration // from the revocation of a key until no request with it runs, also on a box that is cut off; 0 for no limit
	QuotaWindow       time.Duration // over which the use of organisations is counted
	QuotaFactor       float64       // factor by which quotas may be exceeded
	QuotaExtra        float64       // units on top of that, in one window
	RegionLinkMbps    float64       // megabits per second between two regions, for requests and their answers; 0 for no bound
}

// Settings are the settings of a box.
type Settings struct {
	Box           string
	Domain        string // failure domain
	Region        string
	Regions       map[string]string // by failure domain
	IP            string
	CallerAddr    string // IP:port for requests of callers
	ReadinessAddr string // IP:port for readiness checks
	SeedAddr      string // IP:port at which starting boxes find it; empty for none
	DirectoryAddr string // IP:port of the directory
	MetricsAddr   string // IP:port of its metrics and its state; empty for none
	Ports         [2]int // for forwarded requests, and for messages between boxes
	Seeds         []string
	MemoryMB      int // the process is killed above it; 0 for no limit
	Bounds        Bounds
}

// Adapter connects a box to its platform.
type Adapter struct {
	Codec           ingress.Codec
	Source          func(pool *exchange.Pool, report SourceEvents) catalog.Source
	Directory       func(which func(host, region string) []string, ttl time.Duration) http.Handler
	Readiness       func(ready func() bool) http.Handler
	SettingsChanged func() bool              // reports whether the settings may have changed since the last call
	ReadSettings    func() (Settings, error) // reads the settings again

	// Identify requests the identity of the replica at an address.
	Identify func(ctx context.Context, pool *exchange.Pool, addr, healthPath string) (Identity, error)
	// RequestUsageReport requests the usage report of the engine at an address.
	RequestUsageReport func(ctx context.Context, pool *exchange.Pool, addr string) (UsageReport, error)
}

// UsageReport is the usage report of an engine.
type UsageReport struct {
	StartedAt int64 // start of its process, in Unix milliseconds; 0 for unknown
	Running   int
	Waiting   int
	Tokens    int // in memory

	Signals   placement.Signals // what the replica reports of itself in the head of the answer
	Malformed error             // a header of it that can't be read
}

// SourceEvents receives events of a source of the catalog.
type SourceEvents struct {
	Call         func(kind, result string)    // for every call
	Invalid      func(name string, err error) // for an invalid value; the last valid one stays
	UnknownEntry func(name string, err error) // for an entry that names no replica
	Restored     func(era int64)              // when the source comes back from an older copy; its revisions of an era say nothing of those of another
}
