// Package configstore reads and watches the platform's configuration service over
// its key-value protocol: GET /v1/kv/KEY with a blocking query (index and wait)
// answered by the value and an index header. Nothing is ever written.
package configstore

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/sleep"
)

// IndexHeader carries the index of a value.
const IndexHeader = "X-Consul-Index"

// Keys of the platform, below the prefix.
const (
	KeyHead  = "head"   // signed head of the bundle in force
	KeyNode  = "node/"  // nodes of the bundle's tree, by hash
	KeyWhole = "whole"  // all nodes of the newest bundle, for a box that has none
	KeyFleet = "fleet/" // list of one failure domain
)

const (
	maxValue     = 1 << 20 // bytes, the platform's bound
	slack        = 2 * time.Second
	firstBackOff = 100 * time.Millisecond
	maxBackOff   = 5 * time.Second
)

// ErrNoKey marks a key that the platform does not hold.
var ErrNoKey = errors.New("configstore: no such key")

// Client reads from the first base address that answers.
type Client struct {
	urls   []string
	prefix string
	wait   time.Duration
	http   *http.Client
	reads  func(kind string) // seam: counts every call
	jitter func() float64    // seam: 0 up to 1
	next   atomic.Int64
}

// Option changes a Client.
type Option func(*Client)

// WithHTTP sets the client that carries the calls.
func WithHTTP(c *http.Client) Option { return func(p *Client) { p.http = c } }

// WithWait sets the longest wait of a watch.
func WithWait(d time.Duration) Option { return func(p *Client) { p.wait = d } }

// WithReads sets what is told of every call.
func WithReads(f func(kind string)) Option { return func(p *Client) { p.reads = f } }

// WithJitter sets the source of jitter, from 0 up to 1.
func WithJitter(f func() float64) Option { return func(p *Client) { p.jitter = f } }

// New returns a client of the service at urls, for keys below prefix.
func New(urls []string, prefix string, opts ...Option) *Client {
	c := &Client{
		urls:   urls,
		prefix: prefix,
		wait:   30 * time.Second,
		http:   http.DefaultClient,
		reads:  func(string) {},
		jitter: rand.Float64,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Value is what a key held.
type Value struct {
	Data  []byte
	Index int64
}

// Get reads key now.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	c.reads("get")
	return c.fetch(ctx, key, 0)
}

func (c *Client) fetch(ctx context.Context, key string, index int64) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout(index))
	defer cancel()
	base := c.urls[int(c.next.Load())%len(c.urls)]
	at := fmt.Sprintf("%s/v1/kv/%s/%s?raw", base, url.PathEscape(c.prefix), key)
	if index > 0 {
		at += fmt.Sprintf("&index=%d&wait=%dms", index, c.wait.Milliseconds())
	}
	v, err := c.do(ctx, at)
	if err != nil && !errors.Is(err, ErrNoKey) {
		c.next.Add(1)
	}
	return v, err
}

func (c *Client) timeout(index int64) time.Duration {
	if index > 0 {
		return c.wait + slack
	}
	return slack
}

func (c *Client) do(ctx context.Context, at string) (Value, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return Value{}, errors.Wrap(err, "configstore")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return Value{}, errors.Wrap(err, "configstore")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound {
		return Value{}, ErrNoKey
	}
	if resp.StatusCode != http.StatusOK {
		return Value{}, errors.Newf("configstore: status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxValue+1))
	if err != nil {
		return Value{}, errors.Wrap(err, "configstore")
	}
	if len(data) > maxValue {
		return Value{}, errors.New("configstore: value above 1 MB")
	}
	index, err := strconv.ParseInt(resp.Header.Get(IndexHeader), 10, 64)
	if err != nil {
		return Value{}, errors.Wrap(err, "configstore: index")
	}
	return Value{
		Data:  data,
		Index: index,
	}, nil
}

// Watch calls f with every value that key takes, until ctx ends. Failures are
// tried again with jittered back-off; an answer with a lower index is an older
// replica's and is left out, but counted.
func (c *Client) Watch(ctx context.Context, key string, f func(Value)) {
	var index int64
	backOff := firstBackOff
	for ctx.Err() == nil {
		c.reads("watch")
		v, err := c.fetch(ctx, key, index)
		switch {
		case err != nil:
			c.sleep(ctx, backOff)
			backOff = min(2*backOff, maxBackOff)
			continue
		case v.Index < index:
			c.reads("older")
			c.sleep(ctx, backOff)
			backOff = min(2*backOff, maxBackOff)
			continue
		case v.Index > index:
			index = v.Index
			f(v)
		}
		backOff = firstBackOff
	}
}

func (c *Client) sleep(ctx context.Context, d time.Duration) {
	sleep.For(ctx, d/2+time.Duration(c.jitter()*float64(d)))
}
