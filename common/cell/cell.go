// Package cell holds a value inside an actor. Every access is a message that
// the actor runs in the order of arrival, so the value needs no lock and its
// code may be pure.
package cell

import (
	"context"
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/cockroachdb/errors"
)

// ErrStopped is returned when the actor has ended.
var ErrStopped = errors.New("cell: stopped")

// System runs the actors of one process.
type System struct {
	actors *actor.ActorSystem
	broken func(reason any)
}

// NewSystem returns a system that logs to logger. When code in a cell panics,
// an invariant is broken; broken is told of it and should stop the process.
func NewSystem(logger *slog.Logger, broken func(reason any)) *System {
	factory := func(*actor.ActorSystem) *slog.Logger { return logger }
	return &System{
		actors: actor.NewActorSystem(actor.WithLoggerFactory(factory)),
		broken: broken,
	}
}

// Cell is an actor that owns one value of type T.
type Cell[T any] struct {
	system *System
	pid    *actor.PID
	done   <-chan struct{}
}

// access is the one message of a cell.
type access[T any] struct {
	run  func(*T)
	done chan struct{} // closed when run has returned
}

// New starts a cell that owns value until ctx ends.
func New[T any](ctx context.Context, s *System, name string, value *T) *Cell[T] {
	receive := func(c actor.Context) {
		if m, ok := c.Message().(access[T]); ok {
			m.run(value)
			close(m.done)
		}
	}
	decide := func(reason any) actor.Directive {
		s.broken(reason)
		return actor.StopDirective
	}
	props := actor.PropsFromFunc(receive, actor.WithGuardian(actor.NewOneForOneStrategy(0, 0, decide)))
	c := &Cell[T]{
		system: s,
		pid:    s.actors.Root.SpawnPrefix(props, name),
		done:   ctx.Done(),
	}
	context.AfterFunc(ctx, func() { s.actors.Root.Stop(c.pid) })
	return c
}

// Do runs f on the value and returns when it has run. f must not block and must
// not call the same cell.
func (c *Cell[T]) Do(f func(*T)) error {
	done := make(chan struct{})
	c.system.actors.Root.Send(c.pid, access[T]{
		run:  f,
		done: done,
	})
	select {
	case <-done:
		return nil
	case <-c.done:
		return ErrStopped
	}
}

// Post runs f on the value some time later.
func (c *Cell[T]) Post(f func(*T)) {
	c.system.actors.Root.Send(c.pid, access[T]{
		run:  f,
		done: make(chan struct{}),
	})
}
