package control

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/havenrudder/havenrudder/commands"
	"github.com/havenrudder/havenrudder/node"
)

const (
	whereTimeout   = 5 * time.Second
	maxWhereAnswer = 16 << 20 // bytes; 4,000 replicas take some 1.5 MB
)

// whereCmd asks boxes where a request would go.
type whereCmd struct {
	urls         string
	route        string
	organisation string
	request      string
	segments     string
	tokens       int
	deadline     time.Duration
	json         bool
}

var _ subcommands.Command = (*whereCmd)(nil)

// Name returns the name of the subcommand.
func (*whereCmd) Name() string { return "where" }

// Synopsis says in one line what the subcommand does.
func (*whereCmd) Synopsis() string { return "print where a request would go now, and why" }

// Usage returns the help of the subcommand.
func (*whereCmd) Usage() string {
	return "where -route NAME [-url http://IP:PORT,...] [-organisation NAME] [-request ID] [-segments ID:TOKENS,...]\n" +
		"      [-tokens N] [-deadline 2s] [-json]\n" +
		"  Print where the boxes with these operators' addresses would send a request now, and\n" +
		"  what is against the other replicas. Nothing is sent, reserved or counted.\n"
}

// SetFlags sets the flags.
func (c *whereCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.urls, "url", "http://127.0.0.1:18002", "operators' addresses of boxes, separated by commas")
	f.StringVar(&c.route, "route", "", "name of the route")
	f.StringVar(&c.organisation, "organisation", "", "name of the organisation whose key the caller shows")
	f.StringVar(&c.request, "request", "", "id of the request, by which requests are spread")
	f.StringVar(&c.segments, "segments", "", "shared segments of the prompt in order, each ID:TOKENS")
	f.IntVar(&c.tokens, "tokens", 0, "tokens of the whole prompt")
	f.DurationVar(&c.deadline, "deadline", 0, "time that the caller gives; 0 for that of the route")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// boxWhere is the answer of one box, or why there is none.
type boxWhere struct {
	URL   string      `json:"url"`
	Error string      `json:"error,omitempty"`
	Where *node.Where `json:"where,omitempty"`
}

// Execute asks the boxes and prints their answers. It fails if one of them has none.
func (c *whereCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.route == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	answers := c.ask(ctx)
	if err := c.print(os.Stdout, answers); err != nil {
		return commands.Fail(err)
	}
	for _, a := range answers {
		if a.Error != "" {
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

// ask asks all boxes at once.
func (c *whereCmd) ask(ctx context.Context) []boxWhere {
	urls := strings.Split(c.urls, ",")
	out := make([]boxWhere, len(urls))
	var wg sync.WaitGroup
	for i, base := range urls {
		wg.Go(func() {
			out[i].URL = base
			where, err := askWhere(ctx, strings.TrimSuffix(base, "/")+node.WherePath+"?"+c.query().Encode())
			if err != nil {
				out[i].Error = err.Error()
				return
			}
			out[i].Where = where
		})
	}
	wg.Wait()
	return out
}

func (c *whereCmd) query() url.Values {
	q := url.Values{}
	set := func(name, value string, given bool) {
		if given {
			q.Set(name, value)
		}
	}
	set("route", c.route, true)
	set("organisation", c.organisation, c.organisation != "")
	set("request", c.request, c.request != "")
	set("segments", c.segments, c.segments != "")
	set("tokens", strconv.Itoa(c.tokens), c.tokens != 0)
	set("deadline_ms", strconv.FormatInt(c.deadline.Milliseconds(), 10), c.deadline != 0)
	return q
}

func askWhere(ctx context.Context, target string) (*node.Where, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "where")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "where")
	}
	defer func() { _ = resp.Body.Close() }()
	in := json.NewDecoder(io.LimitReader(resp.Body, maxWhereAnswer))
	if resp.StatusCode != http.StatusOK {
		var failure node.WhereError
		if err := in.Decode(&failure); err != nil || failure.Error == "" {
			return nil, errors.Newf("where: status %d", resp.StatusCode)
		}
		return nil, errors.Newf("where: %s", failure.Error)
	}
	var out node.Where
	if err := in.Decode(&out); err != nil {
		return nil, errors.Wrap(err, "where")
	}
	return &out, nil
}

func (c *whereCmd) print(w io.Writer, answers []boxWhere) error {
	if c.json {
		out := json.NewEncoder(w)
		out.SetIndent("", "  ")
		return errors.Wrap(out.Encode(answers), "where")
	}
	for i, a := range answers {
		if i > 0 {
			fmt.Fprintln(w)
		}
		if err := a.print(w); err != nil {
			return errors.Wrap(err, "where")
		}
	}
	return nil
}

// print prints the answer of a box as text. Names come from the network and are quoted where they could
// change the terminal.
func (a boxWhere) print(w io.Writer) error {
	if a.Where == nil {
		_, err := fmt.Fprintf(w, "%s: %s\n", a.URL, shown(a.Error))
		return err
	}
	o := a.Where
	target := shown(o.Target)
	if o.Target == "" {
		target = fmt.Sprintf("no replica here (%s, again in %d ms)", shown(o.Reason), o.RetryAfterMs)
	}
	fmt.Fprintf(w, "%s of region %s, policy %d: route %s, service %s, urgency %d -> %s\n",
		shown(o.Box), shown(o.Region), o.PolicyVersion, shown(o.Route), shown(o.Service), o.Urgency, target)
	if o.OtherRegion != "" {
		fmt.Fprintf(w, "to another region with probability %.2f, to %s; expected loss here %.0f in 1,000\n", o.OtherShare, shown(o.OtherRegion), o.ExpectedLoss)
	}
	if o.Waiting > 0 {
		fmt.Fprintf(w, "behind others: %d requests wait at this box, expected wait %d ms\n", o.Waiting, o.ExpectWaitMs)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REPLICA\tDOMAIN\tCOST\tFIRST BYTE\tMISSING\tREQUESTS\tTOKENS\tFAILING\tSLOW\tREPORT AGE\tSEEN\tAGAINST IT")
	for _, r := range o.Replicas {
		against := "-"
		if r.Reason != "" {
			against = shown(r.Reason)
		}
		if r.WaitMs > 0 {
			against += fmt.Sprintf(" for %d ms", r.WaitMs)
		}
		fmt.Fprintf(table, "%s\t%s\t%.1f ms\t%.1f ms\t%d\t%d\t%d\t%.2f\t%.2f\t%s\t%s\t%s\n", shown(r.Replica), shown(r.Domain), r.CostMs, r.ExpectMs,
			r.Missing, r.Requests, r.Tokens, r.Failing, r.Slow, shownAge(r.ReportAgeMs), shownAge(r.SeenAgeMs), against)
	}
	for _, r := range o.Regions {
		fmt.Fprintf(table, "region %s\t\t\t%d ms\t\t\t\t%.2f\t\t%s\t\texpected loss %.0f, %d replicas\n", shown(r.Region), r.ExpectMs, r.Failing, shownAge(r.AgeMs), r.ExpectedLoss, r.Usable)
	}
	return table.Flush()
}

// shown returns a text without bytes that could change a terminal.
func shown(text string) string {
	quoted := strconv.Quote(text)
	return quoted[1 : len(quoted)-1]
}

func shownAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms", ms)
}
