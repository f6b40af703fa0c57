package commands

import (
	"context"
	"flag"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/havenrudder/havenrudder/common/sched"
	"github.com/havenrudder/havenrudder/node"
	"github.com/havenrudder/havenrudder/platform"
)

// boxCmd runs a box on the users' platform.
type boxCmd struct {
	settings string
	metrics  string
}

var _ subcommands.Command = (*boxCmd)(nil)

// Name returns the name of the subcommand.
func (*boxCmd) Name() string { return "box" }

// Synopsis says in one line what the subcommand does.
func (*boxCmd) Synopsis() string { return "run a box on the users' platform" }

// Usage returns the help of the subcommand.
func (*boxCmd) Usage() string {
	return "box [-settings FILE] [-metrics PORT]\n" +
		"  Run a box on the users' platform, with its settings file.\n" +
		"  SIGTERM begins a planned stop; SIGHUP has the settings read again.\n"
}

// SetFlags sets the flags of the subcommand.
func (c *boxCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(platform.SettingsVariable), "settings file")
	f.StringVar(&c.metrics, "metrics", "", "port for metrics and the state dump; empty for none")
}

// Execute runs the box until it is told to stop.
func (c *boxCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	told := make(chan os.Signal, 4) // from the first moment on, for SIGHUP would end the process
	signal.Notify(told, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	settings, adapter, err := platform.Load(c.settings)
	if err != nil {
		return Fail(err)
	}
	if c.metrics != "" {
		settings.MetricsAddr = net.JoinHostPort(settings.IP, c.metrics)
	}
	n, err := node.New(settings, adapter, node.WithOutput(os.Stdout), node.WithLatencyWatch(sched.Watch))
	if err != nil {
		return Fail(err)
	}
	go obeySignals(n, told)
	if err := n.Run(ctx); err != nil {
		return Fail(err)
	}
	return subcommands.ExitSuccess
}

// obeySignals begins a planned stop or has the settings read again.
func obeySignals(n *node.Node, told <-chan os.Signal) {
	for s := range told {
		if s == syscall.SIGHUP {
			n.Reload()
			continue
		}
		n.Drain()
	}
}
