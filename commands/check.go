package commands

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/config"
)

// checkCmd checks a settings file.
type checkCmd struct{}

var _ subcommands.Command = (*checkCmd)(nil)

// Name returns the name of the subcommand.
func (*checkCmd) Name() string { return "check" }

// Synopsis says in one line what the subcommand does.
func (*checkCmd) Synopsis() string { return "check the settings in FILE" }

// Usage returns the help of the subcommand.
func (*checkCmd) Usage() string {
	return "check FILE...\n  Check settings files; every mistake is printed with its line.\n"
}

// SetFlags sets no flags.
func (*checkCmd) SetFlags(*flag.FlagSet) {}

// Execute checks each file.
func (c *checkCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, path := range f.Args() {
		if err := checkSettings(path); err != nil {
			status = Fail(err)
			continue
		}
		fmt.Println(path + ": ok")
	}
	return status
}

func checkSettings(path string) error {
	settings, err := config.LoadSettings(path)
	if err != nil {
		return err
	}
	_, err = bundle.NewKeys(settings.Keys)
	return err
}
