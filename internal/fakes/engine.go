package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/gateway"
	"github.com/havenrudder/havenrudder/wire"
)

// Engine is a stand-in for one replica of a model engine. Its tokens follow
// from the prompt alone, so that a resumed answer can be checked.
type Engine struct {
	name    string
	slots   int
	tokens  int           // tokens of each answer
	first   time.Duration // time to the first token
	between time.Duration // time between tokens

	mu        sync.Mutex
	running   int
	finished  int
	cancelled int
	leaving   bool
	breakAt   int // token before which the next answer breaks off; 0 for none
}

// EngineOption changes an Engine.
type EngineOption func(*Engine)

// WithTokens sets how many tokens an answer has and their pace.
func WithTokens(n int, first, between time.Duration) EngineOption {
	return func(e *Engine) {
		e.tokens = n
		e.first = first
		e.between = between
	}
}

// WithSlots sets how many requests run at once.
func WithSlots(n int) EngineOption { return func(e *Engine) { e.slots = n } }

// NewEngine returns a replica.
func NewEngine(name string, opts ...EngineOption) *Engine {
	e := &Engine{
		name:    name,
		slots:   8,
		tokens:  16,
		first:   5 * time.Millisecond,
		between: time.Millisecond,
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Leave makes the engine say that it leaves.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// BreakNext makes the next answer break off before token n.
func (e *Engine) BreakNext(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakAt = n
}

// EngineCounts is what an engine has done.
type EngineCounts struct {
	Slots     int // requests that run at once
	Running   int
	Finished  int
	Cancelled int
}

// Counts returns what the engine has done.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineCounts{
		Slots:     e.slots,
		Running:   e.running,
		Finished:  e.finished,
		Cancelled: e.cancelled,
	}
}

func (e *Engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, _ := json.Marshal(wire.Load{
		Running: min(e.running, e.slots),
		Waiting: max(e.running-e.slots, 0),
		Slots:   e.slots,
		Leaving: e.leaving,
	})
	return string(data)
}

var _ http.Handler = (*Engine)(nil)

// ServeHTTP answers chat completions and probes of load.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" {
		_, _ = io.WriteString(w, e.load())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var req struct {
		Stream   bool            `json:"stream"`
		Messages json.RawMessage `json:"messages"`
	}
	if json.Unmarshal(body, &req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	resume, _ := strconv.Atoi(r.Header.Get(gateway.HeaderResume))
	breakAt := e.begin()
	w.Header().Set(gateway.HeaderRequestID, r.Header.Get(gateway.HeaderRequestID))
	w.Header().Set(gateway.HeaderLoad, e.load())
	if resume > 0 {
		w.Header().Set(gateway.HeaderResume, strconv.Itoa(resume))
	}
	whole := e.run(w, r, req.Stream, Tokens(req.Messages, e.tokens), resume, breakAt)
	e.end(whole)
	if !whole {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) begin() (breakAt int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	breakAt = e.breakAt
	e.breakAt = 0
	return breakAt
}

func (e *Engine) end(whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if whole {
		e.finished++
	} else {
		e.cancelled++
	}
}

// Tokens returns the n tokens that every engine answers messages with.
func Tokens(messages []byte, n int) []string {
	out := make([]string, n)
	seed := xxhash.Sum64(messages)
	for i := range out {
		out[i] = fmt.Sprintf("t%d-%x ", i, (seed+uint64(i))%4096)
	}
	return out
}

func (e *Engine) run(w http.ResponseWriter, r *http.Request, stream bool, tokens []string, resume, breakAt int) bool {
	if !pause(r, e.first) {
		return false
	}
	if !stream {
		if !pause(r, time.Duration(len(tokens))*e.between) || breakAt > 0 {
			return false
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(completion(strings.Join(tokens, "")))
		return true
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush, _ := w.(http.Flusher)
	for i := resume; i < len(tokens); i++ {
		if breakAt > 0 && i == breakAt {
			return false
		}
		_, err := fmt.Fprintf(w, "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", tokens[i])
		if err != nil {
			return false
		}
		flush.Flush()
		if !pause(r, e.between) {
			return false
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	return true
}

// Completion is an answer that is not streamed.
type Completion struct {
	Object  string   `json:"object"`
	Choices []Choice `json:"choices"`
}

// Choice is the one choice of a Completion.
type Choice struct {
	Index   int     `json:"index"`
	Message Message `json:"message"`
}

// Message is the text of a Choice.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func completion(text string) Completion {
	return Completion{
		Object: "chat.completion",
		Choices: []Choice{
			{
				Message: Message{
					Role:    "assistant",
					Content: text,
				},
			},
		},
	}
}

// pause waits and says whether the caller is still there.
func pause(r *http.Request, d time.Duration) bool {
	sleep.For(r.Context(), d)
	return r.Context().Err() == nil
}
