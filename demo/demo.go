// Package demo runs an example installation, sends real requests through it and
// says what came back.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/config"
	"github.com/havenrudder/havenrudder/examples"
	"github.com/havenrudder/havenrudder/internal/fakes"
	"github.com/havenrudder/havenrudder/internal/site"
	"github.com/havenrudder/havenrudder/wire"
)

// User is one of the first users, as the demo needs to know it.
type User struct {
	name     string
	engine   string         // engine service
	plain    string         // plain service
	once     string         // path of a call that may not be repeated
	model    string         // model of the engine service
	any      string         // organisation whose data may go to several regions
	bound    string         // organisation whose data stays in its home
	home     string         // a box in the home of bound
	sibling  string         // another box there
	abroad   string         // a box elsewhere
	engines  map[string]int // replicas by failure domain
	services map[string]int
	between  time.Duration // one-way delay between regions
	within   time.Duration // one-way delay between failure domains of a region
}

// Users returns the names of the examples.
func Users() []string { return []string{"lavallee", "kallioniemi"} }

func find(name string) (User, error) {
	switch name {
	case "lavallee":
		return lavallee(), nil
	case "kallioniemi":
		return kallioniemi(), nil
	}
	return User{}, errors.Newf("no example %q, want one of %s", name, strings.Join(Users(), ", "))
}

func lavallee() User {
	return User{
		name:     "lavallee",
		engine:   "havenrudder-epicerie",
		plain:    "commandes-app",
		once:     "/v1/slots",
		model:    "epicerie-8b",
		any:      "app",
		bound:    "limoilou",
		home:     "qc-1",
		sibling:  "qc-2",
		abroad:   "mtl-1",
		engines:  map[string]int{"mtl-entrepot-a": 4, "mtl-entrepot-b": 2, "qc-limoilou": 3, "sag-chicoutimi": 3},
		services: map[string]int{"mtl-entrepot-a": 1, "qc-limoilou": 1, "sag-chicoutimi": 1},
		between:  90 * time.Millisecond,
		within:   500 * time.Microsecond,
	}
}

func kallioniemi() User {
	return User{
		name:     "kallioniemi",
		engine:   "havenrudder-menu",
		plain:    "tilaus-app",
		once:     "/v1/counts",
		model:    "menu-8b",
		any:      "parents",
		bound:    "oulu-schools",
		home:     "oulu-1",
		sibling:  "oulu-2",
		abroad:   "vantaa-1",
		engines:  map[string]int{"vantaa-sali-a": 3, "vantaa-sali-b": 3, "tampere-sali": 3, "oulu-sali": 3},
		services: map[string]int{"vantaa-sali-a": 1, "tampere-sali": 1, "oulu-sali": 1},
		between:  90 * time.Millisecond,
		within:   time.Millisecond,
	}
}

// load reads the example's bundle and settings.
func load(name string) (wire.Bundle, []wire.Settings, error) {
	data, err := examples.Files.ReadFile(path.Join(name, "bundle.jsonc"))
	if err != nil {
		return wire.Bundle{}, nil, errors.Wrap(err, "demo")
	}
	b, err := bundle.Parse("examples/"+name+"/bundle.jsonc", data)
	if err != nil {
		return wire.Bundle{}, nil, err
	}
	files, err := fs.Glob(examples.Files, path.Join(name, "boxes", "*.jsonc"))
	if err != nil {
		return wire.Bundle{}, nil, errors.Wrap(err, "demo")
	}
	var all []wire.Settings
	for _, file := range files {
		data, err := examples.Files.ReadFile(file)
		if err != nil {
			return wire.Bundle{}, nil, errors.Wrap(err, "demo")
		}
		s, err := config.ParseSettings("examples/"+file, data)
		if err != nil {
			return wire.Bundle{}, nil, err
		}
		all = append(all, s)
	}
	return b, all, nil
}

const (
	startBound  = 15 * time.Second
	tokens      = 40
	firstToken  = 30 * time.Millisecond
	tokenPace   = 20 * time.Millisecond
	serviceTook = 50 * time.Millisecond
)

// Run runs the example called name and prints to w what it does. It returns an
// error when anything comes back wrong. With stay it then waits for ctx.
func Run(ctx context.Context, w io.Writer, log *logrus.Entry, name string, stay bool) error {
	user, plan, err := prepare(name, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	fmt.Fprintf(w, "%s: starting %d boxes in %d regions, with engines, a plain service and the platform's stand-in\n", name, len(plan.Settings), len(plan.Bundle.Regions))
	s, err := site.Start(ctx, plan)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "every box serves after %.1f s\n", time.Since(began).Seconds())
	t := &tour{
		user: user,
		site: s,
		out:  w,
	}
	if err := t.run(ctx); err != nil {
		return err
	}
	fmt.Fprintf(w, "all as it should be, %.1f s\n", time.Since(began).Seconds())
	if stay {
		t.printCurl()
		<-ctx.Done()
	}
	return nil
}

// prepare returns the example called name and the plan to run it by.
func prepare(name string, log *logrus.Entry) (User, site.Plan, error) {
	user, err := find(name)
	if err != nil {
		return User{}, site.Plan{}, err
	}
	b, settings, err := load(name)
	return user, site.Plan{
		Bundle:      b,
		Settings:    settings,
		Engines:     user.engines,
		Services:    user.services,
		Engine:      []fakes.EngineOption{fakes.WithTokens(tokens, firstToken, tokenPace)},
		ServiceTook: serviceTook,
		Between:     user.between,
		Within:      user.within,
		Log:         log,
	}, err
}

// Surroundings runs what stands around the boxes of an example until ctx ends:
// engines, plain services and the platform's stand-in. It writes to dir the
// settings of each box, so that the boxes can be run as processes of their own.
func Surroundings(ctx context.Context, w io.Writer, log *logrus.Entry, name, dir string) error {
	_, plan, err := prepare(name, log)
	if err != nil {
		return err
	}
	settings := plan.Settings
	plan.Settings = nil // they run as processes of their own
	s, err := site.Start(ctx, plan)
	if err != nil {
		return err
	}
	for _, one := range settings {
		data, err := json.MarshalIndent(s.Expect(one), "", "  ")
		if err != nil {
			return errors.Wrap(err, "demo")
		}
		file := filepath.Join(dir, one.Box+".json")
		if err := os.WriteFile(file, data, fileMode); err != nil {
			return errors.Wrap(err, "demo")
		}
		fmt.Fprintf(w, "havenrudder run %s\n", file)
	}
	<-ctx.Done()
	return nil
}

const fileMode = 0o644
