package control

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/havenrudder/havenrudder/commands"
	"github.com/havenrudder/havenrudder/decision"
)

// maxLogLine is the longest line of a log that is read, in bytes. A line of the
// log of decisions is below 4 KiB; the rest is for the prefix.
const maxLogLine = 64 << 10

// explainCmd prints the path of one request through the boxes.
type explainCmd struct{}

var _ subcommands.Command = (*explainCmd)(nil)

// Name returns the name of the subcommand.
func (*explainCmd) Name() string { return "explain" }

// Synopsis says in one line what the subcommand does.
func (*explainCmd) Synopsis() string { return "print the path of a request, from logs of boxes" }

// Usage returns the help of the subcommand.
func (*explainCmd) Usage() string {
	return "explain ID FILE...\n" +
		"  Print what the boxes with the logs FILE decided on the request ID, in order of\n" +
		"  time, and what they believed of its upstreams. - reads standard input.\n"
}

// SetFlags sets no flags.
func (*explainCmd) SetFlags(*flag.FlagSet) {}

// Execute reads the logs and prints the path.
func (*explainCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	id := f.Arg(0)
	events, skipped, err := readLogs(id, f.Args()[1:])
	if err != nil {
		return commands.Fail(err)
	}
	found := explain(id, events)
	if len(found.path) == 0 {
		return commands.Fail(errors.Newf("explain: no line of request %q; %d other lines were skipped", id, skipped))
	}
	if err := found.print(os.Stdout, skipped); err != nil {
		return commands.Fail(err)
	}
	return subcommands.ExitSuccess
}

// readLogs reads the files and returns their events that may concern the request
// id, and how many lines were no events.
func readLogs(id string, names []string) ([]decision.Event, int, error) {
	var events []decision.Event
	skipped := 0
	for _, name := range names {
		more, n, err := readFile(id, name)
		if err != nil {
			return nil, 0, err
		}
		events = append(events, more...)
		skipped += n
	}
	return events, skipped, nil
}

// readFile reads one file, or standard input for -.
func readFile(id, name string) ([]decision.Event, int, error) {
	if name == "-" {
		return readLog(id, os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, errors.Wrap(err, "explain")
	}
	defer func() { _ = file.Close() }() // it was only read
	return readLog(id, file)
}

// readLog reads the lines of r. Lines that are too long are skipped as well.
func readLog(id string, r io.Reader) ([]decision.Event, int, error) {
	var events []decision.Event
	skipped := 0
	lines := bufio.NewReaderSize(r, maxLogLine)
	for {
		line, err := nextLine(lines)
		if errors.Is(err, io.EOF) {
			return events, skipped, nil
		}
		if err != nil {
			return nil, 0, errors.Wrap(err, "explain")
		}
		e, ok := parseEvent(line)
		if !ok {
			skipped++
			continue
		}
		if concerns(&e, id) {
			events = append(events, e)
		}
	}
}

// nextLine returns the next line, or only the beginning of one that is longer
// than the buffer of r. The line is valid until the next call.
func nextLine(r *bufio.Reader) ([]byte, error) {
	line, more, err := r.ReadLine()
	if err != nil || !more {
		return line, err
	}
	beginning := bytes.Clone(line)
	for more && err == nil {
		_, more, err = r.ReadLine()
	}
	if errors.Is(err, io.EOF) {
		err = nil // the next call finds it again
	}
	return beginning, err
}

// parseEvent decodes what follows the first brace of the line. It returns false
// if that is no event.
func parseEvent(line []byte) (decision.Event, bool) {
	var e decision.Event
	n := bytes.IndexByte(line, '{')
	if n < 0 {
		return e, false
	}
	err := json.Unmarshal(line[n:], &e) // other programs write to the same files; the caller counts
	return e, err == nil && !e.At.IsZero()
}

// concerns reports whether e is of the request id or may explain what happened
// to it.
func concerns(e *decision.Event, id string) bool {
	if e.Request == id || e.Digest != "" {
		return true
	}
	return isBelief(e) || e.Kind == decision.Dropped
}

// isBelief says whether e changes what a box believes.
func isBelief(e *decision.Event) bool {
	return slices.Contains([]decision.Kind{decision.Belief, decision.Lost, decision.Regained}, e.Kind)
}

// print writes the explanation to w.
func (x *explanation) print(w io.Writer, skipped int) error {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "request %s: %s\n", printable(x.id), x.summary())
	writeTable(&buf, x.path)
	if len(x.same) > 0 {
		fmt.Fprintf(&buf, "\nthe same under other ids, and what boxes held of it\n")
		writeTable(&buf, x.same)
	}
	if len(x.beliefs) > 0 {
		fmt.Fprintf(&buf, "\nbeliefs in the %s before its end\n", beliefWindow)
		writeTable(&buf, x.beliefs)
	}
	if len(x.signals) > 0 {
		fmt.Fprintf(&buf, "\nwhat its upstreams had reported of themselves before\n")
		writeTable(&buf, x.signals)
	}
	if len(x.dropped) > 0 {
		fmt.Fprintf(&buf, "\nlines that these boxes dropped near that time; the path may have gaps\n")
		writeTable(&buf, x.dropped)
	}
	if skipped > 0 {
		fmt.Fprintf(&buf, "\nskipped %d lines that are no events\n", skipped)
	}
	_, err := w.Write(buf.Bytes())
	return errors.Wrap(err, "explain")
}
