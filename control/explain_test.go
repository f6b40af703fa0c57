package control

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/decision"
)

// The logs of two boxes. The first one's lines have a prefix.
const (
	logOne = `  12.250 north-1 {"box":"box-1","kind":"place","request":"r-1","service":"chat","upstream":"u-7","age_ms":120,"revision":8,"time":"2026-12-02T09:00:05.2Z"}
  12.200 north-1 {"box":"box-1","kind":"place","request":"r-1","service":"chat","route":"chat-eu","version":3,"time":"2026-12-02T09:00:05.1Z"}
  12.300 north-1 {"box":"box-1","kind":"try","request":"r-1","upstream":"u-7","outcome":"not_run","reason":"connection refused","took_ms":4,"time":"2026-12-02T09:00:05.3Z"}
  12.310 north-1 {"box":"box-1","kind":"place","request":"r-1","upstream":"box-2","region":"eu","time":"2026-12-02T09:00:05.31Z"}
  12.310 north-1 {"box":"box-1","kind":"try","request":"r-2","upstream":"u-7","outcome":"served","time":"2026-12-02T09:00:05.31Z"}
  12.900 north-1 {"box":"box-1","kind":"end","request":"r-1","outcome":"served","status":200,"tokens":40,"tries":2,"time":"2026-12-02T09:00:05.9Z"}
panic: something
  13.000 north-1 {"box":"box-1","kind":"belief","upstream":"u-7","outcome":"dead","time":"2026-12-02T09:00:06.5Z"}
  13.100 north-1 {"box":"box-1","kind":"dropped","counts":[{"kind":"place","lines":3}],"time":"2026-12-02T09:00:06.1Z"}
`
	logTwo = `{"box":"box-2","kind":"belief","upstream":"u-7","reason":"no heartbeat","age_ms":900,"time":"2026-12-02T09:00:02Z"}
{"box":"box-2","kind":"belief","upstream":"u-7","reason":"slow","time":"2026-12-02T09:00:00Z"}
{"box":"box-2","kind":"belief","upstream":"u-9","reason":"no heartbeat","time":"2026-12-02T09:00:02Z"}
{"box":"box-3","kind":"lost","upstream":"box-2","time":"2026-12-02T09:00:03Z"}
{"box":"box-3","kind":"lost","region":"eu","time":"2026-12-02T09:00:03.5Z"}
{"box":"box-3","kind":"lost","region":"us","time":"2026-12-02T09:00:03.5Z"}
{"box":"box-2","kind":"lost","detail":"the store \u001b[2J","time":"2026-12-02T09:00:04Z"}
{"box":"box-3","kind":"lost","detail":"the store","time":"2026-12-02T09:00:04Z"}
{"box":"box-2","kind":"try","request":"r-1","upstream":"u-8","outcome":"served","time":"2026-12-02T09:00:05.8Z"}
{"level":"info","msg":"not a decision","time":"2026-12-02T09:00:05.8Z"}
{"box":"box-2","kind":"start"}
{"box":"box-2","kind":
`
)

const explained = `request r-1: 6 lines of 2 boxes in 800ms
TIME                      BOX    KIND   OUTCOME  REASON                INPUTS
2026-12-02T09:00:05.100Z  box-1  place  -        -                     service=chat route=chat-eu version=3
2026-12-02T09:00:05.200Z  box-1  place  -        -                     service=chat upstream=u-7 age=120ms revision=8
2026-12-02T09:00:05.300Z  box-1  try    not_run  "connection refused"  upstream=u-7 took=4ms
2026-12-02T09:00:05.310Z  box-1  place  -        -                     upstream=box-2 region=eu
2026-12-02T09:00:05.800Z  box-2  try    served   -                     upstream=u-8
2026-12-02T09:00:05.900Z  box-1  end    served   -                     status=200 tokens=40 tries=2

beliefs in the 5s before its end
TIME                      BOX    KIND    OUTCOME  REASON          INPUTS
2026-12-02T09:00:02.000Z  box-2  belief  -        "no heartbeat"  upstream=u-7 age=900ms
2026-12-02T09:00:03.000Z  box-3  lost    -        -               upstream=box-2
2026-12-02T09:00:03.500Z  box-3  lost    -        -               region=eu
2026-12-02T09:00:04.000Z  box-2  lost    -        -               detail="the store \x1b[2J"

lines that these boxes dropped near that time; the path may have gaps
TIME                      BOX    KIND     OUTCOME  REASON  INPUTS
2026-12-02T09:00:06.100Z  box-1  dropped  -        -       place=3

skipped 4 lines that are no events
`

// writeLogs writes the two logs to files and returns their names.
func writeLogs(is *is.I, dir string) []string {
	is.Helper()
	names := []string{filepath.Join(dir, "one"), filepath.Join(dir, "two")}
	is.NoErr(os.WriteFile(names[0], []byte(logOne), 0o600))
	is.NoErr(os.WriteFile(names[1], []byte(logTwo), 0o600))
	return names
}

func TestThePathOfARequestIsExplained(t *testing.T) {
	is := is.New(t)
	events, skipped, err := readLogs("r-1", writeLogs(is, t.TempDir()))
	is.NoErr(err)
	found := explain("r-1", events)
	var buf bytes.Buffer
	is.NoErr(found.print(&buf, skipped))
	is.Equal(buf.String(), explained)
}

// Guards against a limit that is named long before the request that it turns away, and not shown.
func TestWhatAnUpstreamHadReportedBeforeIsShown(t *testing.T) {
	is := is.New(t)
	events, _, err := readLog("r-1", strings.NewReader(
		`{"box":"box-1","kind":"belief","upstream":"u-7","signal":"limit","limit":1.2,"reason":"old","time":"2026-12-02T08:00:00Z"}
{"box":"box-1","kind":"belief","upstream":"u-7","signal":"limit","limit":1.5,"reason":"replica names a limit","time":"2026-12-02T08:30:00Z"}
{"box":"box-1","kind":"belief","upstream":"u-9","signal":"limit","limit":3,"reason":"of another replica","time":"2026-12-02T08:30:00Z"}
{"box":"box-1","kind":"end","request":"r-1","upstream":"u-7","outcome":"refused","time":"2026-12-02T09:00:05Z"}
`))
	is.NoErr(err)
	found := explain("r-1", events)
	is.Equal(len(found.signals), 1)
	var buf bytes.Buffer
	is.NoErr(found.print(&buf, 0))
	is.True(strings.Contains(buf.String(), "what its upstreams had reported of themselves before"))
	is.True(strings.Contains(buf.String(), "limit=1.5/s signal=limit"))
}

func TestARequestWithoutLinesHasNoPath(t *testing.T) {
	is := is.New(t)
	events, _, err := readLogs("r-9", writeLogs(is, t.TempDir()))
	is.NoErr(err)
	found := explain("r-9", events)
	is.Equal(len(found.path), 0)
	is.Equal(len(found.beliefs), 0)
}

func TestALogThatCanNotBeReadIsAnError(t *testing.T) {
	is := is.New(t)
	_, _, err := readLogs("r-1", []string{filepath.Join(t.TempDir(), "none")})
	is.True(err != nil)
}

func TestALineThatIsTooLongIsSkippedOnce(t *testing.T) {
	is := is.New(t)
	line := `{"box":"b","kind":"end","request":"r","time":"2026-12-02T09:00:05Z"}`
	long := strings.Repeat("x", 3*maxLogLine)
	for _, text := range []string{
		line + "\n" + long + "\n" + line + "\n",
		line + "\n" + line + "\n" + long, // without an end of line
	} {
		events, skipped, err := readLog("r", strings.NewReader(text))
		is.NoErr(err)
		is.Equal(len(events), 2)
		is.Equal(skipped, 1)
	}
}

func TestWhatTheLogWritesIsRead(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	l := decision.New("box-1", &buf)
	l.Record(decision.Event{
		Kind:    decision.End,
		Request: "r-1",
		Outcome: decision.Served,
	})
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // Run writes what is queued and returns
		is.NoErr(l.Run(ctx))
	})
	events, skipped, err := readLog("r-1", &buf)
	is.NoErr(err)
	is.Equal(skipped, 0)
	is.Equal(len(events), 1)
	is.Equal(events[0].Outcome, decision.Served)
}

func TestWhatDecidedAPlaceIsShown(t *testing.T) {
	is := is.New(t)
	e := decision.Event{
		Kind:     decision.Place,
		Upstream: "i-1",
		Build:    "v1.2",
		Resumes:  "r-0",
		TookMs:   120,
		Prompt:   9000,
		Tokens:   500,
		CopyFrom: "192.0.2.1:80",
		InFlight: 7,
		Memory:   40_000,
		Unread:   3000,
		Sharers:  22,

		LastEvent: "12",
	}
	is.Equal(inputs(&e), "upstream=i-1 build=v1.2 resumes=r-0 last_event=12 took=120ms prompt=9000 tokens=500 copy_from=192.0.2.1:80 in_flight=7 memory=40000 unread=3000 sharers=22")
	e = decision.Event{
		Kind:   decision.Try,
		TookMs: 90,
		SentMs: 3,
		HeadMs: 70,

		Send:      2,
		Conn:      27,
		Discarded: 1,
	}
	is.Equal(inputs(&e), "took=90ms sent=3ms head=70ms send=2 conn=27 discarded=1")
	e = decision.Event{
		Kind:    decision.End,
		FirstMs: 130,
		PauseMs: 40,
	}
	is.Equal(inputs(&e), "first=130ms pause=40ms")
}

// The logs of two boxes at which a request came that ends its replicas.
const logPoison = `{"box":"box-1","kind":"try","request":"r-1","upstream":"u-1","outcome":"broken","digest":"50fd","time":"2026-12-02T09:00:01Z"}
{"box":"box-1","kind":"try","request":"r-2","upstream":"u-1","outcome":"broken","digest":"77aa","time":"2026-12-02T09:00:01Z"}
{"box":"box-2","kind":"belief","reason":"request quarantined, replicas ended under it","digest":"50fd","tries":3,"time":"2026-12-02T09:00:03Z"}
{"box":"box-2","kind":"end","request":"r-9","outcome":"refused","reason":"ends its replicas","digest":"50fd","status":503,"time":"2026-12-02T09:00:04Z"}
`

func TestTheEndsThatBarARequestAreExplained(t *testing.T) {
	is := is.New(t)
	events, _, err := readLog("r-9", strings.NewReader(logPoison))
	is.NoErr(err)
	found := explain("r-9", events)
	is.Equal(len(found.path), 1)
	is.Equal(len(found.same), 2)
	is.Equal(found.same[0].Upstream, "u-1")
	is.Equal(found.same[1].Tries, 3)
	is.Equal(len(found.beliefs), 0)
	var out bytes.Buffer
	is.NoErr(found.print(&out, 0))
	is.True(strings.Contains(out.String(), "the same under other ids, and what boxes held of it\n"))
	is.True(strings.Contains(out.String(), "tries=3 digest=50fd"))
}
