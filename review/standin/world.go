package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/platform/platformtest"
)

const (
	host         = "shop.example"
	startTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// zones gives the region of each failure domain: three regions of one zone, as on the sites of the pages.
var zones = map[string]string{
	"vantaa-sali":  "uusimaa",
	"tampere-sali": "pirkanmaa",
	"oulu-sali":    "pohjois",
}

// world is the platform's side of a small deployment: a store, replicas and callers.
type world struct {
	ctx      context.Context
	dir      string
	trouble  bool // the disruption is played
	store    *platformtest.Store
	caller   *platformtest.Caller
	config   *platformtest.Config
	first    *platformtest.Settings // of the first box, whose ports the others have too
	boxes    []*box
	replicas []*platformtest.Replica

	mu    sync.Mutex
	began time.Time
	lines []string // of the record
}

// box is a box that the shell has started.
type box struct {
	settings *platformtest.Settings
	path     string // of its settings, without the suffix
}

func newWorld(ctx context.Context, dir string, trouble bool) (*world, error) {
	store, err := platformtest.NewStore(ctx)
	if err != nil {
		return nil, err
	}
	return &world{
		ctx:     ctx,
		dir:     dir,
		trouble: trouble,
		store:   store,
		caller:  platformtest.NewCaller(ctx, "c"),
		config:  platformtest.NewConfig(1),
		began:   time.Now(),
	}, nil
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, fmt.Sprintf("%7.3f s  ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) writeRecord(path string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(w.lines, "\n")+"\n"), 0o600)
}

// publish writes the configuration to the store.
func (w *world) publish() { w.store.PutConfig(w.config.JSON()) }

// addReplica starts a replica in a zone and writes its entry, with the fields of the pages alone.
func (w *world) addReplica(id, service, zone string, kind platformtest.Kind, opts ...platformtest.ReplicaOption) (*platformtest.Replica, error) {
	opts = append([]platformtest.ReplicaOption{platformtest.WithService(service), platformtest.WithZone(zone)}, opts...)
	r, err := platformtest.NewReplica(w.ctx, id, kind, opts...)
	if err != nil {
		return nil, err
	}
	w.replicas = append(w.replicas, r)
	e := r.Entry()
	e.Born = 0
	w.store.PutReplica(id, e)
	return r, nil
}

// addBox writes the settings of a box and has the shell start it.
func (w *world) addBox(name, zone string) (*box, error) {
	var s *platformtest.Settings
	if w.first == nil {
		var err error
		if s, err = platformtest.NewSettings(name, zone, zones, w.store.Addr()); err != nil {
			return nil, err
		}
		s.Seeds = []string{s.Listen.Control}
		w.first = s
	} else {
		s = w.first.Alike(name, zone, platformtest.Loopback(len(w.boxes)+1))
	}
	path, err := s.Write(w.dir)
	if err != nil {
		return nil, err
	}
	b := &box{
		settings: s,
		path:     strings.TrimSuffix(path, filepath.Ext(path)),
	}
	w.boxes = append(w.boxes, b)
	return b, b.start()
}

// start has the shell start the box, and waits until it has.
func (b *box) start() error {
	if err := os.Remove(b.path + ".pid"); err != nil && !os.IsNotExist(err) {
		return err
	}
	if err := os.WriteFile(b.path+".start", nil, 0o600); err != nil {
		return err
	}
	for range startTimeout / pollInterval {
		if _, err := os.Stat(b.path + ".pid"); err == nil {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Newf("%s was not started", b.settings.Node)
}

func (b *box) pid() (int, error) {
	data, err := os.ReadFile(b.path + ".pid")
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(data)))
}

// signal sends a signal to the box.
func (b *box) signal(s syscall.Signal) error {
	pid, err := b.pid()
	if err != nil {
		return err
	}
	return syscall.Kill(pid, s)
}

// awaitReady waits until all boxes are ready, and then for a time.
func (w *world) awaitReady(extra time.Duration) error {
	for _, b := range w.boxes {
		ready := false
		for range startTimeout / pollInterval {
			if ready = w.caller.Ready(w.ctx, b.settings.Listen.Readiness); ready {
				break
			}
			time.Sleep(pollInterval)
		}
		if !ready {
			return errors.Newf("%s isn't ready", b.settings.Node)
		}
	}
	time.Sleep(extra)
	w.note("%d boxes are ready", len(w.boxes))
	return nil
}
