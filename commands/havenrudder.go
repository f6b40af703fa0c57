// Package commands holds the subcommands of the binary havenrudder, one file each,
// and what both binaries share. It links nothing that a box doesn't need, for that
// would take memory in each of them.
package commands

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/havenrudder/havenrudder/box"
	"github.com/havenrudder/havenrudder/config"
)

// Box returns the subcommands of the binary havenrudder.
func Box() []subcommands.Command {
	return []subcommands.Command{
		&runCmd{},
		&boxCmd{},
		&checkCmd{},
	}
}

// Execute runs the subcommand that the arguments of the process name.
func Execute(list []subcommands.Command) int {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range list {
		subcommands.Register(c, "")
	}
	flag.Parse()
	return int(subcommands.Execute(context.Background()))
}

// NewLog returns a logger of JSON lines on standard error.
func NewLog(level string) *logrus.Entry {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
	})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return logrus.NewEntry(log)
}

// Fail prints err and returns the status of a failure.
func Fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

// runCmd runs a box.
type runCmd struct{}

var _ subcommands.Command = (*runCmd)(nil)

// Name returns the name of the subcommand.
func (*runCmd) Name() string { return "run" }

// Synopsis says in one line what the subcommand does.
func (*runCmd) Synopsis() string { return "run a box with the settings in FILE" }

// Usage returns the help of the subcommand.
func (*runCmd) Usage() string {
	return "run FILE\n  Run a box. SIGTERM begins a planned stop, a second one ends at once.\n"
}

// SetFlags sets no flags.
func (*runCmd) SetFlags(*flag.FlagSet) {}

// Execute runs the box until it is told to stop.
func (c *runCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	settings, err := config.LoadSettings(f.Arg(0))
	if err != nil {
		return Fail(err)
	}
	b, err := box.New(settings, box.WithLog(NewLog(settings.LogLevel)))
	if err != nil {
		return Fail(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go leaveOnSignal(b, cancel)
	if err := b.Run(ctx); err != nil {
		return Fail(err)
	}
	return subcommands.ExitSuccess
}

func leaveOnSignal(b *box.Box, cancel context.CancelFunc) {
	told := make(chan os.Signal, 2)
	signal.Notify(told, syscall.SIGTERM, os.Interrupt)
	<-told
	b.Leave()
	<-told
	cancel()
}
