// Package link is the protocol between the decider and the side processes: length-prefixed CBOR messages over one TCP
// connection per side process, which the decider opens.
package link

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// maxFrame bounds a message in bytes. A report on 4,000 tasks has about 300 KB.
	maxFrame = 4 << 20
	// WriteTimeout bounds the writing of one message, so that a peer that stops reading does not block the writer.
	WriteTimeout = 2 * time.Second
	// frameHeader is the size of the length prefix in bytes.
	frameHeader = 4
	// maxHello bounds the first message on a connection in bytes. It holds two names of instances.
	maxHello = 4 << 10
	// firstRead is the size in bytes of the buffer with which the reading of a message begins. It grows with the bytes that
	// arrive: the announced length may be false.
	firstRead = 4 << 10
)

// Hello opens a connection.
type Hello struct {
	// Epoch is the decider's epoch and Entry its instance.
	Epoch uint64 `cbor:"1,keyasint"`
	Entry string `cbor:"2,keyasint"`
	// Instance is the instance that the decider means; empty from earlier versions. Another one may have its former address.
	Instance string `cbor:"3,keyasint,omitempty"`
}

// Start orders the start of a run.
type Start struct {
	Task string `cbor:"1,keyasint"`
	Run  int    `cbor:"2,keyasint"`
	Spec string `cbor:"3,keyasint,omitempty"`
	// Checkpoint is the checkpoint to resume from; empty if there is none.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	// Ticket is the adviser's permission to start; empty if the queue has no adviser.
	Ticket string `cbor:"5,keyasint,omitempty"`
	// CPUPercent is the CPU share that is set right after the start; 0 for no throttling.
	CPUPercent int `cbor:"6,keyasint,omitempty"`
}

// Stop orders the termination of a run.
type Stop struct {
	Task string `cbor:"1,keyasint"`
	Run  int    `cbor:"2,keyasint"`
}

// Throttle throttles a run to a percentage of its CPU.
type Throttle struct {
	Task       string `cbor:"1,keyasint"`
	Run        int    `cbor:"2,keyasint"`
	CPUPercent int    `cbor:"3,keyasint"`
}

// Orders is a message from the decider to a side process.
type Orders struct {
	// AnsweredMs is Report.SentMs of the newest report that the decider read while it had authority. The worker's lease
	// runs from then.
	AnsweredMs int64 `cbor:"1,keyasint,omitempty"`
	// Incarnation is the worker's incarnation that the rest of the message is for.
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Number counts messages with orders on this connection, from 1; 0 for a message without orders.
	Number uint64 `cbor:"3,keyasint,omitempty"`
	// Fence is the fencing token of every order in the message.
	Fence uint64 `cbor:"4,keyasint,omitempty"`
	// Forget is the highest completion number that the worker may forget.
	Forget    int64      `cbor:"5,keyasint,omitempty"`
	Starts    []Start    `cbor:"6,keyasint,omitempty"`
	Stops     []Stop     `cbor:"7,keyasint,omitempty"`
	Throttles []Throttle `cbor:"8,keyasint,omitempty"`
	// More means that further orders wait for room: the side process reports as soon as it has answered most of those that it has.
	More bool `cbor:"9,keyasint,omitempty"`
}

// Len returns the number of orders in the message.
func (o *Orders) Len() int { return len(o.Starts) + len(o.Stops) + len(o.Throttles) }

// Incarnation identifies an incarnation of a worker.
type Incarnation struct {
	ID string `cbor:"1,keyasint"`
	// StartedMs is the worker's start time in Unix milliseconds, as the worker reports it.
	StartedMs int64 `cbor:"2,keyasint"`
}

// Worker is what a worker reports about itself.
type Worker struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Service     string      `cbor:"2,keyasint"`
	Zone        string      `cbor:"3,keyasint"`
	// Address is where the worker accepts calls of its side process.
	Address  string   `cbor:"4,keyasint"`
	Draining bool     `cbor:"5,keyasint,omitempty"`
	CPU      int64    `cbor:"6,keyasint"`
	MemMB    int64    `cbor:"7,keyasint"`
	GPU      int64    `cbor:"8,keyasint"`
	Labels   []string `cbor:"9,keyasint"`
	// RemainingMs is the minimum time until a draining worker terminates.
	RemainingMs int64 `cbor:"10,keyasint,omitempty"`
	// Seq increases with each heartbeat of the worker.
	Seq int64 `cbor:"-"`
}

// Run is an active run on a worker.
type Run struct {
	_          struct{} `cbor:",toarray"`
	Task       string
	Run        int
	Checkpoint string
	// ProgressPercent is the run's progress; for a long-running task it is 100 once the task is ready.
	ProgressPercent int
	// Load is the tail latency of a latency-critical task in milliseconds, and the CPU use of other tasks.
	Load int64
}

// Outcome is the result of an ended run.
type Outcome string

// Results of runs.
const (
	Done    Outcome = "done"
	Failed  Outcome = "failed"
	Stopped Outcome = "stopped"
	Expired Outcome = "lapsed"
	// GangMemberEnded means that another member of the gang ended.
	GangMemberEnded Outcome = "broken"
	// GangIncomplete means that the other members of the gang did not start in time.
	GangIncomplete Outcome = "alone"
)

// Completion is the completion of a run that the worker has not been told to forget yet.
type Completion struct {
	_ struct{} `cbor:",toarray"`
	// Number counts the completions of one incarnation of the worker, from 1.
	Number     int64
	Task       string
	Run        int
	Outcome    Outcome
	Checkpoint string
}

// Refusal reports a start that a worker refused.
type Refusal struct {
	Task   string `cbor:"1,keyasint"`
	Run    int    `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint"`
}

// Reasons of Refusal.
const (
	ReasonNoCapacity = "room"
	ReasonTicket     = "ticket"
	ReasonStale      = "old"
	ReasonTooLate    = "late"
	ReasonFence      = "fence"
	ReasonUnhealthy  = "unhealthy"
	ReasonInvalid    = "invalid"
	// ReasonTerminated means that the worker's incarnation ended before the order was carried out.
	ReasonTerminated = "gone"
)

// Report is a message from a side process to the decider.
type Report struct {
	// SentMs is when the message was created, by the side process's boot-time clock, which counts suspended time.
	SentMs int64 `cbor:"1,keyasint"`
	// Worker is nil until the worker has registered.
	Worker *Worker `cbor:"2,keyasint,omitempty"`
	// Leaving means that the worker announced that it is terminating now.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Listed is true if Runs holds the worker's list of active runs. The list was read after the fence was raised.
	Listed bool `cbor:"4,keyasint,omitempty"`
	// Complete is true if Runs, together with the completions reported on this connection, covers every run of the
	// incarnation that was started before the list was read. Otherwise a run that is absent may have ended without being
	// listed yet.
	Complete    bool         `cbor:"14,keyasint,omitempty"`
	Runs        []Run        `cbor:"5,keyasint,omitempty"`
	Completions []Completion `cbor:"6,keyasint,omitempty"`
	// OrdersDone is the highest message number up to which all orders are answered, or were given up because their incarnation
	// of the worker has ended; with Listed, before the list was read.
	OrdersDone uint64    `cbor:"7,keyasint,omitempty"`
	Refusals   []Refusal `cbor:"8,keyasint,omitempty"`
	// OrdersReceived is the highest message number that the side process has received on this connection, and OrdersOpen the number of
	// starts and stops that are not answered yet. Both are 0 from earlier versions.
	OrdersReceived uint64 `cbor:"15,keyasint,omitempty"`
	OrdersOpen     int    `cbor:"16,keyasint,omitempty"`
	// LeaseLeftMs is the time after which no run of this incarnation can be active unless the lease is renewed. It bounds
	// how long an unresponsive worker may keep running tasks.
	LeaseLeftMs int64 `cbor:"9,keyasint"`
	// AnsweredMs is the newest Orders.AnsweredMs received on this connection. LeaseLeftMs does not include an answer that is
	// still in transit and may then be too short.
	AnsweredMs int64 `cbor:"13,keyasint,omitempty"`
	// UnresponsiveMs is the time since the worker's last answer.
	UnresponsiveMs int64 `cbor:"10,keyasint,omitempty"`
	// Epoch is the highest epoch that the side process has received.
	Epoch uint64 `cbor:"11,keyasint,omitempty"`
	// Fence is the fencing token with which the runs were listed.
	Fence uint64 `cbor:"12,keyasint,omitempty"`
}

// WriteMessage writes one message.
func WriteMessage(conn net.Conn, v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode %T: %w", v, err)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, frameHeader+len(body)), uint32(len(body)))
	if err := conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return fmt.Errorf("send %T: %w", v, err)
	}
	if _, err := conn.Write(append(frame, body...)); err != nil {
		return fmt.Errorf("send %T: %w", v, err)
	}
	return nil
}

// Budget admits the bytes of a message before they are read. Connections of listeners that are open to others implement it.
type Budget interface {
	// Reserve admits n more bytes, or returns false. Unreserve frees n bytes.
	Reserve(n int) bool
	Unreserve(n int)
}

// ReadMessage reads one message into v. If r implements Budget, the message is read within it.
func ReadMessage(r io.Reader, v any) error { return readMessage(r, v, maxFrame) }

// ReadHello reads the first message on a connection of a decider.
func ReadHello(r io.Reader, h *Hello) error { return readMessage(r, h, maxHello) }

func readMessage(r io.Reader, v any, limit int) error {
	var header [frameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return fmt.Errorf("receive %T: %w", v, err)
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > uint32(limit) {
		return fmt.Errorf("receive %T: %w", v, errdefs.New(errdefs.Invalid, fmt.Sprintf("message of %d bytes exceeds the limit", n), "close the connection"))
	}
	budget, _ := r.(Budget)
	body, free, err := readBody(r, int(n), budget)
	defer free()
	if err != nil {
		return fmt.Errorf("receive %T: %w", v, err)
	}
	return work.Decode(body, v)
}

// errBudget means that other messages in reading leave no room.
var errBudget = errdefs.New(errdefs.Unavailable, "too many bytes are in reading", "send the message again")

// readBody reads n bytes into a buffer that grows with what arrives. The function free is to be called when the buffer is no
// longer used.
func readBody(r io.Reader, n int, budget Budget) (body []byte, free func(), err error) {
	held := 0
	free = func() {
		if budget != nil {
			budget.Unreserve(held)
		}
	}
	for len(body) < n {
		size := min(n, max(2*cap(body), firstRead))
		// Both buffers exist until the contents are copied.
		if budget != nil && !budget.Reserve(size) {
			return nil, free, errBudget
		}
		held += size
		larger := append(make([]byte, 0, size), body...)
		if budget != nil {
			budget.Unreserve(cap(body))
		}
		held -= cap(body)
		body = larger
		read, err := io.ReadFull(r, body[len(body):size])
		body = body[:len(body)+read]
		if err != nil {
			return nil, free, err
		}
	}
	return body, free, nil
}
