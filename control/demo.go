package control

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"strings"

	"github.com/google/subcommands"

	"github.com/havenrudder/havenrudder/commands"
	"github.com/havenrudder/havenrudder/demo"
)

// demoCmd runs an example installation in this process.
type demoCmd struct {
	user  string
	stay  bool
	apart string
	log   string
}

var _ subcommands.Command = (*demoCmd)(nil)

// Name returns the name of the subcommand.
func (*demoCmd) Name() string { return "demo" }

// Synopsis says in one line what the subcommand does.
func (*demoCmd) Synopsis() string { return "run an example installation and try it" }

// Usage returns the help of the subcommand.
func (*demoCmd) Usage() string {
	return `demo [-of NAME] [-stay]
demo [-of NAME] -apart DIR
  Run an example installation in this process, on loopback, and try it; or run
  all but its boxes, which then run as processes of their own.
`
}

// SetFlags sets the flags.
func (c *demoCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.user, "of", "lavallee", "example: "+strings.Join(demo.Users(), " or "))
	f.BoolVar(&c.stay, "stay", false, "keep it up and print curl lines")
	f.StringVar(&c.apart, "apart", "", "run all but the boxes, and write their settings to this folder")
	f.StringVar(&c.log, "log", "error", "lowest level that the boxes log")
}

// Execute runs the demo.
func (c *demoCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
	defer stop()
	if c.apart != "" {
		if err := demo.Surroundings(ctx, os.Stdout, commands.NewLog(c.log), c.user, c.apart); err != nil {
			return commands.Fail(err)
		}
		return subcommands.ExitSuccess
	}
	if err := demo.Run(ctx, os.Stdout, commands.NewLog(c.log), c.user, c.stay); err != nil {
		return commands.Fail(err)
	}
	return subcommands.ExitSuccess
}
