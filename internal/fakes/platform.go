// Package fakes holds small stand-ins for what stands around the system: the
// platform's configuration service, a model engine and a plain service.
package fakes

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/havenrudder/havenrudder/configstore"
	"github.com/havenrudder/havenrudder/internal/change"
)

// Platform is a stand-in for the configuration service. Only tests and the demo
// write to it; the system reads.
type Platform struct {
	mu      sync.Mutex
	index   int64
	values  map[string]configstore.Value
	stale   map[string]configstore.Value // answered instead while frozen
	frozen  bool
	changed change.Signal
	down    bool
	calls   int
}

// NewPlatform returns an empty service.
func NewPlatform() *Platform {
	return &Platform{
		values: make(map[string]configstore.Value),
	}
}

// Put sets a value.
func (p *Platform) Put(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.values[key] = configstore.Value{
		Data:  data,
		Index: p.index,
	}
	p.changed.Tell()
}

// SetDown makes every call fail, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.changed.Tell()
}

// Freeze makes the service answer with the values of now until Thaw, as a
// replica that has fallen behind does.
func (p *Platform) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = true
	p.stale = make(map[string]configstore.Value, len(p.values))
	for k, v := range p.values {
		p.stale[k] = v
	}
}

// Relapse makes the service answer with the values of the last Freeze again.
func (p *Platform) Relapse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = true
	p.changed.Tell()
}

// Thaw ends Freeze.
func (p *Platform) Thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = false
	p.changed.Tell()
}

// Calls returns how many calls were made.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

var _ http.Handler = (*Platform)(nil)

// ServeHTTP answers GET /v1/kv/KEY, blocking when an index is given.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/v1/kv/")
	if _, after, ok := strings.Cut(key, "/"); ok {
		key = after // the prefix is not looked at
	}
	index, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	bound, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	t := time.NewTimer(bound)
	defer t.Stop()
	for {
		v, ok, down, changed := p.look(key)
		if down {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		if !ok && index == 0 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if v.Index != index || bound == 0 {
			write(w, v)
			return
		}
		select {
		case <-changed:
		case <-t.C:
			write(w, v)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func write(w http.ResponseWriter, v configstore.Value) {
	w.Header().Set(configstore.IndexHeader, strconv.FormatInt(v.Index, 10))
	_, _ = w.Write(v.Data)
}

func (p *Platform) look(key string) (v configstore.Value, ok, down bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.frozen {
		values = p.stale
	}
	v, ok = values[key]
	return v, ok, p.down, p.changed.Next()
}

// PutNew sets a value where there is none yet.
func (p *Platform) PutNew(key string, data []byte) {
	p.mu.Lock()
	_, ok := p.values[key]
	p.mu.Unlock()
	if !ok {
		p.Put(key, data)
	}
}
