package fakes

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/havenrudder/havenrudder/gateway"
)

// Service is a stand-in for one replica of a plain service. It counts how often
// each body was run; replicas of one service share the count.
type Service struct {
	ledger *Ledger
	took   time.Duration
	slots  int

	mu      sync.Mutex
	running int
}

// Ledger counts executions by the body of the call.
type Ledger struct {
	mu  sync.Mutex
	ran map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		ran: make(map[string]int),
	}
}

// Ran returns how often a call with that body was run.
func (l *Ledger) Ran(body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[body]
}

func (l *Ledger) add(body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[body]++
	return l.ran[body]
}

// NewService returns a replica that takes so long for each call.
func NewService(l *Ledger, took time.Duration) *Service {
	return &Service{
		ledger: l,
		took:   took,
		slots:  8,
	}
}

var _ http.Handler = (*Service)(nil)

// ServeHTTP runs a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" {
		_, _ = io.WriteString(w, s.load())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.count(1)
	defer s.count(-1)
	w.Header().Set(gateway.HeaderRequestID, r.Header.Get(gateway.HeaderRequestID))
	w.Header().Set(gateway.HeaderLoad, s.load())
	w.Header().Set("Content-Type", "application/json")
	n := 0
	if r.Method == http.MethodPost {
		n = s.ledger.add(string(body))
	}
	time.Sleep(s.took) // a call that was begun ends, whoever left
	_, _ = fmt.Fprintf(w, "{\"path\":%q,\"body\":%q,\"ran\":%d}", r.URL.Path, body, n)
}

func (s *Service) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

func (s *Service) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("{\"running\":%d,\"waiting\":0,\"slots\":%d}", s.running, s.slots)
}
