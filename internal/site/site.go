// Package site runs a whole installation in one process over real sockets on
// loopback: boxes, stand-ins for the upstreams and for the platform, and the
// delays between places. The demo and the measurements use it.
package site

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/havenrudder/havenrudder/box"
	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/configstore"
	"github.com/havenrudder/havenrudder/internal/fakes"
	"github.com/havenrudder/havenrudder/wire"
)

const keyID = "site"

// Plan is what a site consists of.
type Plan struct {
	Bundle      wire.Bundle
	Settings    []wire.Settings // one a box; addresses and keys are replaced
	Engines     map[string]int  // replicas of each engine service by failure domain
	Services    map[string]int  // replicas of each plain service by failure domain
	Engine      []fakes.EngineOption
	ServiceTook time.Duration
	Between     time.Duration // one-way delay between regions
	Within      time.Duration // one-way delay between failure domains of a region
	Log         *logrus.Entry
}

// Site is a running installation.
type Site struct {
	plan     Plan
	private  ed25519.PrivateKey
	public   string
	platform *fakes.Platform
	base     string // of the platform
	ledger   *fakes.Ledger
	engines  map[string]*fakes.Engine
	fleets   map[string]*wire.Fleet
	boxes    map[string]*running
	ctx      context.Context

	mu      sync.Mutex
	regions map[string]string // of each address
	domains map[string]string
	cut     map[[2]string]bool // failure domains that can't reach each other
}

type running struct {
	box  *box.Box
	done chan error
	stop context.CancelFunc
}

// Start starts everything; it all ends with ctx. It returns when every box
// serves.
func Start(ctx context.Context, plan Plan) (*Site, error) { return StartWithin(ctx, ctx, plan) }

// StartWithin is Start with a bound on how long the start may take.
func StartWithin(ctx, start context.Context, plan Plan) (*Site, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "site")
	}
	s := &Site{
		plan:     plan,
		private:  private,
		public:   base64.StdEncoding.EncodeToString(public),
		platform: fakes.NewPlatform(),
		ledger:   fakes.NewLedger(),
		engines:  make(map[string]*fakes.Engine),
		fleets:   make(map[string]*wire.Fleet),
		boxes:    make(map[string]*running),
		ctx:      ctx,
		regions:  make(map[string]string),
		domains:  make(map[string]string),
		cut:      make(map[[2]string]bool),
	}
	addr, err := s.serve(s.platform)
	if err != nil {
		return nil, err
	}
	s.base = "http://" + addr
	if err := s.startUpstreams(); err != nil {
		return nil, err
	}
	if err := s.Publish(plan.Bundle); err != nil {
		return nil, err
	}
	for _, settings := range plan.Settings {
		if err := s.StartBox(settings); err != nil {
			return nil, err
		}
	}
	return s, s.waitReady(start)
}

func (s *Site) waitReady(ctx context.Context) error {
	for name, r := range s.boxes {
		select {
		case <-r.box.Ready():
		case err := <-r.done:
			return errors.Wrapf(err, "box %s ended", name)
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "box %s never served", name)
		}
	}
	return nil
}

// serve serves h on a free port until the site ends.
func (s *Site) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "site")
	}
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Minute,
	}
	context.AfterFunc(s.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *Site) startUpstreams() error {
	for _, region := range s.plan.Bundle.Regions {
		for _, domain := range region.FailureDomains {
			s.fleets[domain] = &wire.Fleet{
				Region:        region.Name,
				FailureDomain: domain,
				Boxes:         []wire.BoxEntry{},
				Upstreams:     []wire.UpstreamEntry{},
			}
			if err := s.startDomain(region.Name, domain); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Site) startDomain(region, domain string) error {
	for _, service := range s.plan.Bundle.Services {
		n := s.plan.Services[domain]
		if service.Kind == wire.ServiceKindEngine {
			n = s.plan.Engines[domain]
		}
		for i := range n {
			if err := s.startUpstream(region, domain, service, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Site) startUpstream(region, domain string, service wire.Service, i int) error {
	name := fmt.Sprintf("%s-%s-%d", service.Name, domain, i+1)
	var h http.Handler = fakes.NewService(s.ledger, s.plan.ServiceTook)
	if service.Kind == wire.ServiceKindEngine {
		s.engines[name] = fakes.NewEngine(name, s.plan.Engine...)
		h = s.engines[name]
	}
	addr, err := s.serve(h)
	if err != nil {
		return err
	}
	s.place(addr, region, domain)
	s.fleets[domain].Upstreams = append(s.fleets[domain].Upstreams, wire.UpstreamEntry{
		Name:    name,
		Service: service.Name,
		URL:     "http://" + addr,
		State:   wire.ServingStateServing,
		Slots:   service.InFlight,
	})
	return nil
}

func (s *Site) place(addr, region, domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regions[addr] = region
	s.domains[addr] = domain
}

// StartBox starts one box and lists it.
func (s *Site) StartBox(settings wire.Settings) error {
	settings.Listen = wire.Listen{
		Callers:   "127.0.0.1:0",
		Peers:     "127.0.0.1:0",
		Operators: "127.0.0.1:0",
	}
	settings.Platform.URLs = []string{s.base}
	settings.Keys = s.keys()
	dialer := &net.Dialer{
		Timeout: time.Second,
	}
	delay := func(addr string) time.Duration { return s.delay(settings.Region, settings.FailureDomain, addr) }
	b, err := box.New(settings,
		box.WithLog(s.plan.Log),
		box.WithNetwork(net.Listen, fakes.Delayed(dialer.DialContext, delay)))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(s.ctx)
	r := &running{
		box:  b,
		done: make(chan error, 1),
		stop: stop,
	}
	s.boxes[b.Name()] = r
	go func() { r.done <- b.Run(ctx) }()
	s.listBox(settings, b)
	return nil
}

func (s *Site) listBox(settings wire.Settings, b *box.Box) {
	addrs := b.Addrs()
	s.place(addrs.Callers, settings.Region, settings.FailureDomain)
	s.place(addrs.Peers, settings.Region, settings.FailureDomain)
	f := s.fleets[settings.FailureDomain]
	f.Boxes = append(f.Boxes, wire.BoxEntry{
		Name:    b.Name(),
		Callers: addrs.Callers,
		Peers:   addrs.Peers,
		State:   wire.ServingStateServing,
	})
	s.PublishFleet(settings.FailureDomain)
}

// PublishFleet writes the list of a failure domain to the platform.
func (s *Site) PublishFleet(domain string) {
	s.platform.Put(configstore.KeyFleet+domain, encode(s.fleets[domain]))
}

// encode returns the JSON of a value that always has one.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "site"))
	}
	return data
}

// Publish signs a bundle and writes it to the platform, parts first.
func (s *Site) Publish(b wire.Bundle) error {
	root, nodes, err := bundle.Split(b)
	if err != nil {
		return err
	}
	for h, n := range nodes {
		s.platform.PutNew(configstore.KeyNode+string(h), n.Data())
	}
	whole, err := nodes.Pack()
	if err != nil {
		return err
	}
	s.platform.Put(configstore.KeyWhole, whole)
	s.platform.Put(configstore.KeyHead, encode(bundle.Sign(b.Version, root, keyID, s.private)))
	return nil
}

// delay returns the one-way delay from a failure domain to an address, negative
// when the link is cut.
func (s *Site) delay(region, domain, addr string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	to, ok := s.domains[addr]
	switch {
	case !ok || to == domain:
		return 0
	case s.cut[[2]string{domain, to}]:
		return -1
	case s.regions[addr] == region:
		return s.plan.Within
	}
	return s.plan.Between
}

// Box returns a box by name.
func (s *Site) Box(name string) *box.Box { return s.boxes[name].box }

// Boxes returns every box by name.
func (s *Site) Boxes() map[string]*box.Box {
	out := make(map[string]*box.Box, len(s.boxes))
	for name, r := range s.boxes {
		out[name] = r.box
	}
	return out
}

// Expect lists a box that runs as a process of its own, at the addresses of its
// settings, and returns the settings it has to be given.
func (s *Site) Expect(settings wire.Settings) wire.Settings {
	settings.Platform.URLs = []string{s.base}
	settings.Keys = s.keys()
	f := s.fleets[settings.FailureDomain]
	f.Boxes = append(f.Boxes, wire.BoxEntry{
		Name:    settings.Box,
		Callers: settings.Listen.Callers,
		Peers:   settings.Listen.Peers,
		State:   wire.ServingStateServing,
	})
	s.PublishFleet(settings.FailureDomain)
	return settings
}

func (s *Site) keys() []wire.PublicKey {
	return []wire.PublicKey{
		{
			ID:     keyID,
			Public: s.public,
		},
	}
}

// UpstreamURL returns the address of the first upstream of a failure domain.
func (s *Site) UpstreamURL(domain string) string { return s.fleets[domain].Upstreams[0].URL }

// Wait waits for a box to end.
func (s *Site) Wait(name string) error { return <-s.boxes[name].done }

// Engine returns an engine by name.
func (s *Site) Engine(name string) *fakes.Engine { return s.engines[name] }

// Engines returns every engine by name.
func (s *Site) Engines() map[string]*fakes.Engine { return s.engines }

// Ledger returns the count of executions of the plain services.
func (s *Site) Ledger() *fakes.Ledger { return s.ledger }

// Platform returns the stand-in for the platform.
func (s *Site) Platform() *fakes.Platform { return s.platform }
