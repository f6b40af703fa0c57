package control

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/havenrudder/havenrudder/commands"
	"github.com/havenrudder/havenrudder/measure/capacity"
	"github.com/havenrudder/havenrudder/measure/control"
	"github.com/havenrudder/havenrudder/measure/gossip"
	"github.com/havenrudder/havenrudder/measure/once"
	"github.com/havenrudder/havenrudder/measure/policy"
	"github.com/havenrudder/havenrudder/measure/quarantine"
)

// measureCmd runs an experiment and prints JSON lines.
type measureCmd struct {
	seed uint64
	ops  int
	name string

	boxes   int
	changes int
	rate    float64
	touch   int
	page    string
	slopes  string
}

var _ subcommands.Command = (*measureCmd)(nil)

// Name returns the name of the subcommand.
func (*measureCmd) Name() string { return "measure" }

// Synopsis says in one line what the subcommand does.
func (*measureCmd) Synopsis() string { return "run an experiment and print JSON lines" }

// Usage returns the help of the subcommand.
func (*measureCmd) Usage() string {
	return `measure once [-ops N] [-seed S]
measure policy [-case NAME] [-seed S]
measure control [-case NAME]
measure relay
measure capacity [-page FILE] [-slopes FILE]
measure gossip [-seed S]
measure quarantine [-boxes N] [-seed S]
measure bundle [-boxes N] [-changes N] [-rate R] [-seed S]
  Run an experiment; each row is one JSON object.
  once    calls that may not be repeated, under faults, in virtual time
  gossip  what heartbeats cost, and how fast boxes know of each other, in virtual time
  quarantine how many replicas a request ends before no box sends it on, in virtual time
  bundle  how fast a bundle is in force, and what that costs, over real sockets
  relay   answers through a box beside direct ones, over real sockets
  control what one more box, replica, organisation, change, request or token costs
  capacity works the tables of docs/measured/capacity.md out anew
  policy  routing and admission beside baselines, in virtual time
`
}

// SetFlags sets no flags: they follow the name of the experiment.
func (*measureCmd) SetFlags(*flag.FlagSet) {}

func (c *measureCmd) flags(name string) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.Uint64Var(&c.seed, "seed", 1, "seed")
	f.IntVar(&c.ops, "ops", 20_000, "operations of each row (once)")
	f.IntVar(&c.boxes, "boxes", 0, "boxes (bundle, 48 if none are named; gossip and quarantine, all sizes)")
	f.IntVar(&c.changes, "changes", 10, "changes (bundle)")
	f.IntVar(&c.touch, "touch", 1, "organisations that each change touches (bundle)")
	f.Float64Var(&c.rate, "rate", control.ChangeRate, "changes a second (bundle)")
	f.StringVar(&c.page, "page", "docs/measured/capacity.md", "page to fill (capacity)")
	f.StringVar(&c.slopes, "slopes", "docs/measured/slopes.jsonl", "measured slopes (capacity)")
	f.StringVar(&c.name, "case", "", "one case or slope only (policy, control)")
	return f
}

// Execute runs the experiment that the first argument names.
func (c *measureCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	own := c.flags(f.Arg(0))
	if err := own.Parse(f.Args()[1:]); err != nil {
		return subcommands.ExitUsageError
	}
	if err := c.run(ctx, f.Arg(0)); err != nil {
		return commands.Fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *measureCmd) run(ctx context.Context, name string) error {
	switch name {
	case "once":
		return c.once()
	case "policy":
		return c.policy()
	case "gossip":
		return c.gossip()
	case "quarantine":
		return c.quarantine()
	case "bundle":
		return c.bundle(ctx)
	case "control":
		return control.Slopes(ctx, c.name, func(s control.Slope) error { return printRow(s) })
	case "relay":
		return control.Relay(ctx, func(r control.RelayRow) error { return printRow(r) })
	case "capacity":
		return c.capacity()
	}
	return errors.Newf("no experiment %q", name)
}

// bundleBoxes is how many boxes are measured where none are named.
const bundleBoxes = 48

// printRow prints a row as one line.
func printRow(row any) error {
	return errors.Wrap(json.NewEncoder(os.Stdout).Encode(row), "row")
}

func (c *measureCmd) once() error {
	for _, mix := range once.Mixes() {
		for _, v := range once.Variants() {
			row, err := once.Measure(v, mix, c.ops, c.seed)
			if err != nil {
				return err
			}
			if err := printRow(row); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *measureCmd) gossip() error {
	for _, size := range gossip.Sizes(c.seed) {
		if c.boxes > 0 && c.boxes != size.Boxes {
			continue
		}
		if err := printRow(gossip.Measure(size)); err != nil {
			return err
		}
	}
	return nil
}

func (c *measureCmd) quarantine() error {
	for _, terms := range quarantine.Sizes(c.seed) {
		if c.boxes > 0 && c.boxes != terms.Regions*terms.PerRegion {
			continue
		}
		if err := printRow(quarantine.Measure(terms)); err != nil {
			return err
		}
	}
	return nil
}

func (c *measureCmd) policy() error {
	known := false
	for _, one := range policy.Cases() {
		if c.name != "" && c.name != one.Name {
			continue
		}
		known = true
		for _, p := range policy.Policies() {
			row, err := policy.Measure(one, p, c.seed)
			if err != nil {
				return err
			}
			if err := printRow(row); err != nil {
				return err
			}
		}
	}
	if !known {
		return errors.Newf("no case %q", c.name)
	}
	return nil
}

func (c *measureCmd) bundle(ctx context.Context) error {
	for _, v := range control.Variants() {
		row, err := control.Bundle(ctx, v, control.Options{
			Boxes:   cmp.Or(c.boxes, bundleBoxes),
			Changes: c.changes,
			Rate:    c.rate,
			Seed:    c.seed,
			Touch:   c.touch,
		})
		if err != nil {
			return err
		}
		if err := printRow(row); err != nil {
			return err
		}
	}
	return nil
}

// capacity fills the tables of the page from measured slopes.
func (c *measureCmd) capacity() error {
	f, err := os.Open(c.slopes)
	if err != nil {
		return errors.Wrap(err, "slopes")
	}
	defer func() { _ = f.Close() }()
	slopes, order, err := capacity.Read(f)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(c.page)
	if err != nil {
		return errors.Wrap(err, "page")
	}
	filled, err := capacity.Page(string(page), capacity.Letter(), slopes, order)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(c.page, []byte(filled), fileMode), "page")
}
