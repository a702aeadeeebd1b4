// Package lifecycle defines the state machines of tasks, endpoints, availability zones and requests. Each machine is
// configured once and holds no state; a pointer to the entity's state is passed in the context of a call.
package lifecycle

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// Machine is a state machine with states of type S and triggers of type T.
type Machine[S ~string, T ~string] struct {
	name    string
	machine *stateless.StateMachine
}

type entityKey struct{}

// newMachine returns a machine without transitions that reads and writes its state through the pointer in the context.
func newMachine[S ~string, T ~string](name string) *Machine[S, T] {
	get := func(ctx context.Context) (stateless.State, error) {
		return *ctx.Value(entityKey{}).(*S), nil
	}
	set := func(ctx context.Context, state stateless.State) error {
		*ctx.Value(entityKey{}).(*S) = state.(S)
		return nil
	}
	return &Machine[S, T]{name, stateless.NewStateMachineWithExternalStorage(get, set, stateless.FiringImmediate)}
}

// permit adds a transition.
func (m *Machine[S, T]) permit(from S, trigger T, to S) {
	if from == to {
		m.machine.Configure(from).PermitReentry(trigger)
		return
	}
	m.machine.Configure(from).Permit(trigger, to)
}

// Fire applies the trigger to the state. A trigger that the state does not permit leaves it unchanged and returns an
// error of kind Conflict.
func (m *Machine[S, T]) Fire(state *S, trigger T) error {
	ctx := context.WithValue(context.Background(), entityKey{}, state)
	if err := m.machine.FireCtx(ctx, trigger); err != nil {
		return fmt.Errorf("%s: %w", m.name, errdefs.New(errdefs.Conflict,
			fmt.Sprintf("%s is not possible in state %s", trigger, *state), "read the current state and decide again"))
	}
	return nil
}

// Can reports whether the state permits the trigger.
func (m *Machine[S, T]) Can(state S, trigger T) bool {
	ctx := context.WithValue(context.Background(), entityKey{}, &state)
	ok, err := m.machine.CanFireCtx(ctx, trigger)
	return err == nil && ok
}
