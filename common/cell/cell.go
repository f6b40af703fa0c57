// Package cell holds a value inside an actor. Every access is a message that
// the actor runs in the order of arrival, so the value needs no lock and its
// code may be pure.
package cell

import (
	"context"
	"log/slog"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/cockroachdb/errors"
)

// ErrStopped is returned when the actor has ended.
var ErrStopped = errors.New("cell: stopped")

// System runs the actors of one process.
type System struct {
	actors *actor.ActorSystem
	broken func(reason any)
	props  []actor.PropsOption
}

// Option changes a System.
type Option func(*System)

// InPlace has each access run in the task that asks for it, when no other runs, in
// place of a task of its own. It is for tests with hundreds of cells in one process: in a box
// who asks first would run the accesses of all who ask meanwhile.
func InPlace() Option {
	return func(s *System) {
		s.props = append(s.props, actor.WithDispatcher(actor.NewSynchronizedDispatcher(throughput)))
	}
}

// throughput is the number of accesses after which a cell lets other tasks go first.
const throughput = 300

// NewSystem returns a system that logs to logger. When code in a cell panics,
// an invariant is broken; broken is told of it and should stop the process.
func NewSystem(logger *slog.Logger, broken func(reason any), opts ...Option) *System {
	factory := func(*actor.ActorSystem) *slog.Logger { return logger }
	s := &System{
		actors: actor.NewActorSystem(actor.WithLoggerFactory(factory)),
		broken: broken,
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Cell is an actor that owns one value of type T.
type Cell[T any] struct {
	system *System
	pid    *actor.PID
	done   <-chan struct{}
}

// access is the one message of a cell.
type access[T any] struct {
	run   func(*T)
	taken *atomic.Bool  // set by whoever comes first: the actor, or a caller that gives up
	ran   *bool         // run has returned; written before done is closed
	done  chan struct{} // closed when run has returned or panicked
}

func newAccess[T any](f func(*T)) access[T] {
	return access[T]{
		run:   f,
		taken: &atomic.Bool{},
		ran:   new(bool),
		done:  make(chan struct{}),
	}
}

// New starts a cell that owns value until ctx ends.
func New[T any](ctx context.Context, s *System, name string, value *T) *Cell[T] {
	receive := func(c actor.Context) {
		if m, ok := c.Message().(access[T]); ok && m.taken.CompareAndSwap(false, true) {
			defer close(m.done)
			m.run(value)
			*m.ran = true
		}
	}
	decide := func(reason any) actor.Directive {
		s.broken(reason)
		return actor.StopDirective
	}
	props := actor.PropsFromFunc(receive, actor.WithGuardian(actor.NewOneForOneStrategy(0, 0, decide))).Configure(s.props...)
	c := &Cell[T]{
		system: s,
		pid:    s.actors.Root.SpawnPrefix(props, name),
		done:   ctx.Done(),
	}
	context.AfterFunc(ctx, func() { s.actors.Root.Stop(c.pid) })
	return c
}

// Do runs f on the value and returns when it has run. When the cell has ended, f
// has not run and never will, unless it panicked and so ended the cell. f must not
// block and must not call the same cell.
func (c *Cell[T]) Do(f func(*T)) error {
	m := newAccess(f)
	c.system.actors.Root.Send(c.pid, m)
	select {
	case <-m.done:
	case <-c.done:
		if m.taken.CompareAndSwap(false, true) {
			return ErrStopped
		}
		<-m.done // it is running
	}
	if !*m.ran {
		return ErrStopped
	}
	return nil
}

// Post runs f on the value some time later.
func (c *Cell[T]) Post(f func(*T)) { c.system.actors.Root.Send(c.pid, newAccess(f)) }
