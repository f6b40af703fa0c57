package control

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/gateway"
	"github.com/havenrudder/havenrudder/internal/fakes"
	"github.com/havenrudder/havenrudder/internal/site"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	streams     = 64
	fewTokens   = 20
	manyTokens  = 220
	tokenPace   = 10 * time.Millisecond
	relayRounds = 3
)

// relaySlopes compare calls of an engine's stand-in through a box with direct
// ones in the same process; the difference is the box.
func relaySlopes() []sampler {
	of := func(name, unit string, once func(ctx context.Context) (float64, error)) sampler {
		return sampler{
			name:   name,
			unit:   unit,
			of:     "tokens of an answer",
			from:   fewTokens,
			to:     manyTokens,
			method: fmt.Sprintf("%d streams at once through one box over sockets, less the same without the box", streams),
			once:   once,
		}
	}
	return []sampler{
		of("token_cpu", "microseconds a streamed token", func(ctx context.Context) (float64, error) {
			few, err := relayCPU(ctx, fewTokens)
			if err != nil {
				return 0, err
			}
			many, err := relayCPU(ctx, manyTokens)
			return (many - few) / (manyTokens - fewTokens), err
		}),
		of("request_cpu", "microseconds a streamed request of 20 tokens, these included", func(ctx context.Context) (float64, error) {
			return relayCPU(ctx, fewTokens)
		}),
		of("stream_heap", "bytes of heap and stacks a stream in flight, caller and stand-in included", streamHeap),
	}
}

// relaySite is one box before one engine.
type relaySite struct {
	box    string
	engine string
}

func startRelay(ctx context.Context, tokens int) (relaySite, error) {
	b := makeBundle(1)
	b.Services = b.Services[:1]
	s, err := settings(b, 0, Variants()[0])
	if err != nil {
		return relaySite{}, err
	}
	plan := site.Plan{
		Bundle:   b,
		Settings: []wire.Settings{s},
		Engines:  map[string]int{"domain-0": 1},
		Engine: []fakes.EngineOption{
			fakes.WithTokens(tokens, time.Millisecond, tokenPace),
			fakes.WithSlots(2 * streams),
		},
		Log: quietLog(),
	}
	plan.Bundle.Services[0].InFlight = 2 * streams
	start, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	running, err := site.StartWithin(ctx, start, plan)
	if err != nil {
		return relaySite{}, err
	}
	return relaySite{
		box:    "http://" + running.Box("box-0").Addrs().Callers,
		engine: running.UpstreamURL("domain-0"),
	}, nil
}

// relayCPU returns the processor time a box spends on one streamed answer, in
// microseconds.
func relayCPU(ctx context.Context, tokens int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := startRelay(ctx, tokens)
	if err != nil {
		return 0, err
	}
	var through, direct time.Duration
	for range relayRounds {
		d, err := burst(ctx, r.box)
		if err != nil {
			return 0, err
		}
		through += d
		if d, err = burst(ctx, r.engine); err != nil {
			return 0, err
		}
		direct += d
	}
	return float64((through - direct).Microseconds()) / (relayRounds * streams), nil
}

// burst streams many answers at once and returns the processor time it took.
func burst(ctx context.Context, base string) (time.Duration, error) {
	began := cpuTime()
	errs := make([]error, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() { errs[i] = ask(ctx, base, i) })
	}
	wg.Wait()
	return cpuTime() - began, errors.Join(errs...)
}

func ask(ctx context.Context, base string, i int) error {
	body := fmt.Sprintf(`{"model":"model-0","stream":true,"messages":[{"role":"user","content":"%d"}]}`, i)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	r.Header.Set(gateway.HeaderOrg, "organisation-0")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	if resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(data), "data: [DONE]\n\n") {
		return errors.Newf("status %d: %.200s", resp.StatusCode, data)
	}
	return nil
}

// streamHeap returns the memory of a stream while it is in flight.
func streamHeap(ctx context.Context) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := startRelay(ctx, manyTokens)
	if err != nil {
		return 0, err
	}
	before := inUse()
	var during float64
	done := make(chan error, 1)
	go func() {
		_, err := burst(ctx, r.box)
		done <- err
	}()
	sleep.For(ctx, manyTokens*tokenPace/2)
	during = inUse()
	return (during - before) / streams, <-done
}
