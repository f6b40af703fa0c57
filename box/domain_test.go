package box_test

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/havenrudder/havenrudder/box"
	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/config"
	"github.com/havenrudder/havenrudder/configstore"
	"github.com/havenrudder/havenrudder/gateway"
	"github.com/havenrudder/havenrudder/internal/fakes"
	"github.com/havenrudder/havenrudder/wire"
)

const bundleText = `{
  "version": 1,
  "regions": [{"name": "r", "failure_domains": ["d"]}, {"name": "far", "failure_domains": ["f"]}],
  "services": [
    {"name": "engine", "kind": "engine", "regions": ["r", "far"], "model": "m"},
    {"name": "slots", "kind": "plain", "regions": ["r"], "once": ["POST /v1/slots"]},
  ],
  "priorities": [{"name": "p", "rank": 0}],
  "organisations": [
    {"name": "o", "home": "r", "regions": ["r"], "priority": "p"},
    {"name": "rover", "home": "r", "regions": ["r", "far"], "priority": "p"},
  ],
}`

// domain is one failure domain in virtual time on a network within the process.
type domain struct {
	t        *testing.T
	is       *is.I
	net      *fakes.Network
	platform *fakes.Platform
	base     string
	private  ed25519.PrivateKey
	bundle   wire.Bundle
	fleets   map[string]*wire.Fleet // by failure domain
	ledger   *fakes.Ledger
	engine   *fakes.Engine
	boxes    map[string]*running
	servers  []*http.Server
	client   *http.Client
	tls      *wire.TLS
}

type running struct {
	box    *box.Box
	cancel context.CancelFunc
	done   chan error
}

func newDomain(t *testing.T, boxes ...string) *domain {
	d := emptyDomain(t)
	d.open(boxes...)
	return d
}

// emptyDomain returns a failure domain without boxes.
func emptyDomain(t *testing.T) *domain {
	is := is.New(t)
	d := &domain{
		t:        t,
		is:       is,
		net:      fakes.NewNetwork(),
		platform: fakes.NewPlatform(),
		private:  ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", ed25519.SeedSize))),
		ledger:   fakes.NewLedger(),
		engine:   fakes.NewEngine("engine-1"),
		boxes:    make(map[string]*running),
		fleets: map[string]*wire.Fleet{
			"d": newFleet("r", "d"),
			"f": newFleet("far", "f"),
		},
	}
	d.client = &http.Client{
		Transport: &http.Transport{
			DialContext:       d.net.Dial("caller"),
			DisableKeepAlives: true,
		},
	}
	d.base = d.serve("platform", d.platform)
	d.upstream("engine-1", "engine", d.engine)
	d.upstream("slots-1", "slots", fakes.NewService(d.ledger, 200*time.Millisecond))
	b, err := bundle.Parse("bundle", []byte(bundleText))
	is.NoErr(err)
	d.bundle = b
	d.publish(1)
	return d
}

// open starts boxes and waits until they know each other.
func (d *domain) open(boxes ...string) {
	for _, name := range boxes {
		d.start(name)
	}
	d.publishFleet()
	d.wait(5 * time.Second)
}

func newFleet(region, domain string) *wire.Fleet {
	return &wire.Fleet{
		Region:        region,
		FailureDomain: domain,
		Boxes:         []wire.BoxEntry{},
		Upstreams:     []wire.UpstreamEntry{},
	}
}

func (d *domain) serve(host string, h http.Handler) string {
	l, err := d.net.Listen(host)("tcp", "")
	d.is.NoErr(err)
	s := &http.Server{
		Handler: h,
	}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return "http://" + l.Addr().String()
}

func (d *domain) upstream(name, service string, h http.Handler) { d.upstreamIn("d", name, service, h) }

func (d *domain) upstreamIn(domain, name, service string, h http.Handler) {
	f := d.fleets[domain]
	f.Upstreams = append(f.Upstreams, wire.UpstreamEntry{
		Name:    name,
		Service: service,
		URL:     d.serve(name, h),
		State:   wire.ServingStateServing,
		Slots:   8,
	})
}

func (d *domain) publish(version int) {
	d.bundle.Version = version
	root, nodes, err := bundle.Split(d.bundle)
	d.is.NoErr(err)
	for h, n := range nodes {
		d.platform.PutNew(configstore.KeyNode+string(h), n.Data())
	}
	whole, err := nodes.Pack()
	d.is.NoErr(err)
	d.platform.Put(configstore.KeyWhole, whole)
	head, err := json.Marshal(bundle.Sign(version, root, "k", d.private))
	d.is.NoErr(err)
	d.platform.Put(configstore.KeyHead, head)
}

func (d *domain) publishFleet() {
	for domain, f := range d.fleets {
		data, err := json.Marshal(f)
		d.is.NoErr(err)
		d.platform.Put(configstore.KeyFleet+domain, data)
	}
}

func (d *domain) start(name string) *box.Box { return d.startIn("d", name) }

func (d *domain) startIn(domain, name string) *box.Box {
	f := d.fleets[domain]
	public := base64.StdEncoding.EncodeToString(d.private.Public().(ed25519.PublicKey))
	settings, err := config.ParseSettings("settings", fmt.Appendf(nil, `{
		"box": %q, "region": %q, "failure_domain": %q,
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
		"platform": {"urls": [%q], "wait_ms": 5000},
		"keys": [{"id": "k", "public": %q}],
		"limits": {"drain_ms": 30000},
	}`, name, f.Region, domain, d.base, public))
	d.is.NoErr(err)
	settings.TLS = d.tls
	for _, peer := range d.boxes {
		settings.Seeds = append(settings.Seeds, peer.box.Addrs().Peers)
	}
	quiet := logrus.New()
	quiet.SetLevel(logrus.PanicLevel)
	b, err := box.New(settings, box.WithLog(logrus.NewEntry(quiet)), box.WithNetwork(d.net.Listen(name), d.net.Dial(name)))
	d.is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{
		box:    b,
		cancel: cancel,
		done:   make(chan error, 1),
	}
	go func() { r.done <- b.Run(ctx) }()
	d.boxes[name] = r
	f.Boxes = append(f.Boxes, wire.BoxEntry{
		Name:    name,
		Callers: b.Addrs().Callers,
		Peers:   b.Addrs().Peers,
		State:   wire.ServingStateServing,
	})
	return b
}

func (d *domain) wait(t time.Duration) {
	time.Sleep(t) // virtual: the bubble's clock moves only when all wait
	synctest.Wait()
}

// crash ends a box without a planned stop.
func (d *domain) crash(name string) {
	d.boxes[name].cancel()
	<-d.boxes[name].done
}

func (d *domain) end() {
	for _, r := range d.boxes {
		r.cancel()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.client.CloseIdleConnections()
	d.wait(time.Minute)
}

type reply struct {
	status  int
	header  http.Header
	body    string
	refusal wire.Refusal
}

func (d *domain) send(method, name, path, body string, h http.Header) reply {
	scheme := "http://"
	if d.tls != nil {
		scheme = "https://"
	}
	r, err := http.NewRequest(method, scheme+d.boxes[name].box.Addrs().Callers+path, strings.NewReader(body))
	d.is.NoErr(err)
	r.Header = h.Clone()
	if r.Header.Get(gateway.HeaderOrg) == "" {
		r.Header.Set(gateway.HeaderOrg, "o")
	}
	resp, err := d.client.Do(r)
	if err != nil {
		return reply{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	out := reply{
		status: resp.StatusCode,
		header: resp.Header,
		body:   string(data),
	}
	if resp.StatusCode != http.StatusOK {
		d.is.NoErr(json.Unmarshal(data, &out.refusal))
	}
	return out
}

func (d *domain) ticket(name string) http.Header {
	r := d.send(http.MethodGet, name, "/v1/box?service=slots&ticket=1", "", http.Header{})
	var which wire.WhichBox
	d.is.NoErr(json.Unmarshal([]byte(r.body), &which))
	return http.Header{
		gateway.HeaderTicket: {which.Ticket},
	}
}

// loop does as the documentation tells callers: on "not run" it sends again with
// the fresh ticket it was given, after the time it was given.
func (d *domain) loop(name, body, encoded string) reply {
	for {
		r := d.send(http.MethodPost, name, "/s/slots/v1/slots", body, http.Header{
			gateway.HeaderTicket: {encoded},
		})
		if r.refusal.Ran != wire.RanNotRun {
			return r
		}
		encoded = r.refusal.Ticket
		d.wait(time.Duration(r.refusal.RetryAfterMs) * time.Millisecond)
	}
}

func run(t *testing.T, f func(d *domain), boxes ...string) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain(t, boxes...)
		defer d.end()
		f(d)
	})
}
