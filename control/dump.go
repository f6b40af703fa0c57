package control

import (
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/havenrudder/havenrudder/commands"
)

const dumpTimeout = 5 * time.Second

// dumpCmd prints the state of a box.
type dumpCmd struct {
	base string
}

var _ subcommands.Command = (*dumpCmd)(nil)

// Name returns the name of the subcommand.
func (*dumpCmd) Name() string { return "dump" }

// Synopsis says in one line what the subcommand does.
func (*dumpCmd) Synopsis() string { return "print the state of a box" }

// Usage returns the help of the subcommand.
func (*dumpCmd) Usage() string {
	return "dump -url http://IP:PORT\n  Print the state of the box with that operators' address.\n"
}

// SetFlags sets the flags.
func (c *dumpCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.base, "url", "http://127.0.0.1:18002", "operators' address of the box")
}

// Execute fetches and prints the dump.
func (c *dumpCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	if err := copyURL(ctx, os.Stdout, c.base+"/debug/state"); err != nil {
		return commands.Fail(err)
	}
	return subcommands.ExitSuccess
}

func copyURL(ctx context.Context, w io.Writer, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "dump")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "dump")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("dump: status %d", resp.StatusCode)
	}
	_, err = io.Copy(w, resp.Body)
	return errors.Wrap(err, "dump")
}
