package catalog_test

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

// Updates and a policy update that an earlier build encoded.
const (
	earlierChanges    = `{"news":{"changes":[{"revision":401,"replica":{"id":"i-001","born":1796200000001,"service":"chat","addr":"10.0.0.1:8308","failure_domain":"north-hall-2","region":"north","slots":8,"leaving":true,"cold_left_ms":1500.5,"revision":401,"told":true}},{"revision":402,"gone":"i-002"},{"revision":403,"evacuated":"south-hall-1"},{"revision":404,"unevacuated":"south-hall-2"},{"revision":405,"policy":{"version":30,"routes":[{"name":"dropped","host":"chat.example","prefix":"/","kind":"once","attempts":1,"timeout_ms":1000,"goal_ms":0,"gap_goal_ms":0,"priority":0,"shares":[{"service":"chat","weight":1}],"resumable":false,"nowhere":true},{"name":"chat","host":"chat.example","prefix":"/v1/","kind":"stream","attempts":3,"timeout_ms":60000,"goal_ms":800,"gap_goal_ms":150,"priority":1,"shares":[{"service":"chat","weight":9},{"service":"chat-b","weight":1}],"resumable":true,"homes":["north"],"public":true}],"services":null,"limits":{"body_bytes":0}}}],"policy":30,"revision":405},"read_ms":250}`
	earlierSnapshot   = `{"news":{"snapshot":{"revision":412,"replicas":[{"id":"i-000","born":1796200000000,"service":"chat","addr":"10.0.0.0:8308","failure_domain":"north-hall-2","region":"north","slots":8,"cold_left_ms":1500.5,"revision":400},{"id":"i-001","born":1796200000001,"service":"chat","addr":"10.0.0.1:8308","failure_domain":"north-hall-2","region":"north","slots":8,"leaving":true,"cold_left_ms":1500.5,"revision":401,"told":true}],"evacuated":["south-hall-1"]},"doubts":[{"replica":"i-001","born":1796200000001,"revision":409,"left_ms":2500}],"policy":31,"revision":412},"read_ms":250}`
	earlierWait       = `{"wait_ms":40.5}`
	earlierPolicyWait = `{"version":31,"wait_ms":40.5}`
	earlierPolicy     = `{"version":31,"compressed":"XJLBcpw8EITv/2P0WbYFu3ht3Xz5rzn4kirXFiVgFlSLNEQStgnFu6dmd5O4ckMDtPrrnhWnyB5mpxXeKSbHAWZXKESeMyWYtxU2wxQKLc8hwxSbWhHo4/IqWE8waGyM1EFh4JRh0A4239On9dNIUJgindwnDB6gcHahgwGHlqBgcyY/5QRTKGTniedc+wRTaK0VerZj7ROMVujtVPf89zxFx9HlBUYrpMHGm91E8d21YktsQOGDXD9kcX5UiJRmb5uRYE52TKQQ+GOgSDA5zrQdt6P6LXHFvzHexAayYx7qyeYBBg/XIxRaDoHa7DgkmMe9DMauPnGshWanteC0Mpso1olalhj0faVAoXeBYFakkSWKJwVPnuMiSpcfM58p1M1yqaTYFfpQKowunGvfTAmXtLTcOTlxfSER2tF5J4orGu6WPwJ6/1QdHjeFMy3UXckVOPY2uGRvEG/rvzXb1ktnZ1okGdwV/k7///4autf086WuDt+W7/kFR/WlmlJ2wounNwSOWaJKPOdBPvsxc7bC/TWSQkCaOcoiVfI8B5dhrhEk2abRugCz19t2LWv2MM+HqiqrUj8WZfl82Jd6X27//QoAAP//"}`
	largeSnapshot     = "testdata/earlier-snapshot.json" // compressed
)

func earlierReplica(n int) catalog.Replica {
	return catalog.Replica{
		ID: fmt.Sprintf("i-%03d", n), StartedAt: 1796200000000 + int64(n), Service: "chat", Addr: fmt.Sprintf("10.0.0.%d:8308", n),
		Domain: "north-hall-2", Region: "north", Slots: 8, Leaving: n == 1, ColdRemaining: 1500.5, Revision: 400 + int64(n), SelfReported: n == 1,
	}
}

// earlierPolicies returns two policies, the second without a route of the first and with a new one.
func earlierPolicies() (first, second *catalog.Policy) {
	route := catalog.Route{
		Name: "chat", Host: "chat.example", Prefix: "/v1/", Kind: catalog.Stream, Attempts: 3, Timeout: 60000, LatencyTarget: 800, GapTarget: 150,
		Priority: 1, Shares: []catalog.Share{{Service: "chat", Weight: 9}, {Service: "chat-b", Weight: 1}},
		Resumable: true, Homes: []string{"north"}, Public: true,
	}
	barred := catalog.Route{
		Name: "barred", Host: "chat.example", Prefix: "/", Kind: catalog.Once, Attempts: 1, Timeout: 1000,
		Shares: []catalog.Share{{Service: "chat", Weight: 1}}, NoRegion: true,
	}
	dropped := barred
	dropped.Name = "dropped"
	first = &catalog.Policy{Version: 30, Routes: []catalog.Route{dropped, route}}
	second = &catalog.Policy{
		Version: 31,
		Routes:  []catalog.Route{route, barred},
		Services: []catalog.Service{{
			Name: "chat", HealthPath: "/health", Connections: 64, ColdFor: 30000, ColdPerSecond: 0.5,
			Engine: &catalog.Engine{Slots: 8, Memory: 64000, TokenBytes: 131072, LinkMbps: 1e4, CopiesCache: true},
		}},
		Limits: catalog.Limits{BodyBytes: 1 << 20},
		Keyed:  true,
		Organisations: []catalog.Organisation{{
			Name: "acme", Keys: []catalog.Key{catalog.KeyOf("key of acme")}, Priority: 2, Homes: []string{"north", "south"},
			Quota: catalog.Quota{PerSecond: 100, Burst: 500, Unit: catalog.Tokens, DefaultTokens: 40},
		}},
	}
	return first, second
}

// earlierNews returns a full state with a number of replicas.
func earlierNews(replicas int) catalog.ChangeSet {
	s := &catalog.Snapshot{Revision: 412, Evacuated: []string{"south-hall-1"}}
	for n := range replicas {
		s.Replicas = append(s.Replicas, earlierReplica(n))
	}
	return catalog.ChangeSet{
		Snapshot: s, PolicyVersion: 31, Revision: 412,
		UnconfirmedRemovals: []catalog.UnconfirmedRemoval{{Replica: "i-001", StartedAt: 1796200000001, Revision: 409, Remaining: 2500}},
	}
}

func earlierNewsOfChanges() catalog.ChangeSet {
	r := earlierReplica(1)
	first, _ := earlierPolicies()
	return catalog.ChangeSet{
		Changes: []catalog.Change{
			{Revision: 401, Replica: &r},
			{Revision: 402, Removed: "i-002"},
			{Revision: 403, Evacuated: "south-hall-1"},
			{Revision: 404, Unevacuated: "south-hall-2"},
			{Revision: 405, Policy: first},
		},
		PolicyVersion: 30, Revision: 405,
	}
}

// Guards against changes of the form of catalog updates, which boxes of two builds exchange.
func TestUpdatesOfAnEarlierBuildAreDecodedAndEncodedAlike(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]catalog.ChangeSet{
		earlierChanges:  earlierNewsOfChanges(),
		earlierSnapshot: earlierNews(2),
	} {
		var p catalog.EncodedChangeSet
		is.NoErr(json.Unmarshal([]byte(text), &p))
		got, err := p.Decode()
		is.NoErr(err)
		want.ReadAge = 250
		is.Equal(got, want)
		again, err := got.Encode()
		is.NoErr(err)
		again.ReadAge = got.ReadAge
		data, err := json.Marshal(again)
		is.NoErr(err)
		is.Equal(string(data), text)
	}
}

// Guards against changes of the answer of a rate-limited box.
func TestAWaitOfAnEarlierBuildIsDecodedAndEncodedAlike(t *testing.T) {
	is := is.New(t)
	var p catalog.EncodedChangeSet
	is.NoErr(json.Unmarshal([]byte(earlierWait), &p))
	is.Equal(p, catalog.EncodedChangeSet{RetryAfter: 40.5})
	data, err := json.Marshal(p)
	is.NoErr(err)
	is.Equal(string(data), earlierWait)
	var policy catalog.PolicyResponse
	is.NoErr(json.Unmarshal([]byte(earlierPolicyWait), &policy))
	is.Equal(policy, catalog.PolicyResponse{Version: 31, RetryAfter: 40.5})
	data, err = json.Marshal(policy)
	is.NoErr(err)
	is.Equal(string(data), earlierPolicyWait)
}

// Guards against changes of the compressed form, which boxes of two builds exchange.
func TestALargeUpdateOfAnEarlierBuildIsDecoded(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(largeSnapshot)
	is.NoErr(err)
	var p catalog.EncodedChangeSet
	is.NoErr(json.Unmarshal(data, &p))
	is.True(p.ChangeSet == nil)
	got, err := p.Decode()
	is.NoErr(err)
	is.Equal(got, earlierNews(60))
}

// Guards against changes of the checksum of a policy, by which boxes of two builds accept a delta.
func TestAPolicyUpdateOfAnEarlierBuildIsApplied(t *testing.T) {
	is := is.New(t)
	first, second := earlierPolicies()
	var news catalog.PolicyResponse
	is.NoErr(json.Unmarshal([]byte(earlierPolicy), &news))
	is.Equal(news.Version, 31)
	got, err := news.Delta()
	is.NoErr(err)
	want, err := catalog.DeltaOf(first, second)
	is.NoErr(err)
	is.Equal(got, want)
	is.Equal(got.Checksum, uint64(0x87619e106bfef7da))
	p, err := got.Apply(first)
	is.NoErr(err)
	is.Equal(p, second)
	sent, err := json.Marshal(news)
	is.NoErr(err)
	is.Equal(string(sent), earlierPolicy)
}

// Guards against changes of the digest by which boxes of two builds find a caller's organisation.
func TestKeysAreThoseOfAnEarlierBuild(t *testing.T) {
	is := is.New(t)
	for credential, want := range map[string]string{
		"":            "47DEQpj8HBSa-_TImW-5JA",
		"key of acme": "-1m-0FvSndSszA_57OyXtA",
	} {
		text, err := catalog.KeyOf(credential).MarshalText()
		is.NoErr(err)
		is.Equal(string(text), want)
	}
}
