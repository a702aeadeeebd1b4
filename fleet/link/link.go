// Package link is the protocol between the decider and the side processes: CBOR messages, each behind its length, over
// one TCP connection per side process that the decider opens.
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
	// WriteTimeout bounds the writing of one message, so that a peer that does not read stops nobody else.
	WriteTimeout = 2 * time.Second
	// frameHeader is the length of the length of a message in bytes.
	frameHeader = 4
)

// Hello opens a connection.
type Hello struct {
	// Epoch is the decider's epoch and Entry its instance.
	Epoch uint64 `cbor:"1,keyasint"`
	Entry string `cbor:"2,keyasint"`
}

// Start orders the start of a run.
type Start struct {
	Task string `cbor:"1,keyasint"`
	Run  int    `cbor:"2,keyasint"`
	Spec string `cbor:"3,keyasint,omitempty"`
	// Checkpoint is the state to resume from; empty if there is none.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	// Ticket is the adviser's permission; empty if the queue has no adviser.
	Ticket string `cbor:"5,keyasint,omitempty"`
	// Percent is the pace that follows the start at once; 0 for full pace.
	Percent int `cbor:"6,keyasint,omitempty"`
}

// Stop orders the end of a run.
type Stop struct {
	Task string `cbor:"1,keyasint"`
	Run  int    `cbor:"2,keyasint"`
}

// Pace lets a run work at a share.
type Pace struct {
	Task    string `cbor:"1,keyasint"`
	Run     int    `cbor:"2,keyasint"`
	Percent int    `cbor:"3,keyasint"`
}

// Orders is a message of the decider.
type Orders struct {
	// Answered is Report.SentMs of the newest report that the decider read while its authority held. The lease of the
	// worker may last for the time of a lease from then.
	Answered int64 `cbor:"1,keyasint,omitempty"`
	// Life is the life of the worker that the rest of the message is for.
	Life Life `cbor:"2,keyasint"`
	// Number counts messages with orders on this connection, from 1; 0 for a message without orders.
	Number uint64 `cbor:"3,keyasint,omitempty"`
	// Fence is sent with each order.
	Fence uint64 `cbor:"4,keyasint,omitempty"`
	// Forget is the highest end that the worker may forget.
	Forget int64   `cbor:"5,keyasint,omitempty"`
	Starts []Start `cbor:"6,keyasint,omitempty"`
	Stops  []Stop  `cbor:"7,keyasint,omitempty"`
	Paces  []Pace  `cbor:"8,keyasint,omitempty"`
}

// Life identifies one life of a worker.
type Life struct {
	ID string `cbor:"1,keyasint"`
	// BornMs is the worker's start in Unix milliseconds by its own account.
	BornMs int64 `cbor:"2,keyasint"`
}

// Worker is what a worker says of itself.
type Worker struct {
	Life    Life   `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	// Address is where it takes calls from its side process.
	Address  string   `cbor:"4,keyasint"`
	Draining bool     `cbor:"5,keyasint,omitempty"`
	CPU      int64    `cbor:"6,keyasint"`
	MemMB    int64    `cbor:"7,keyasint"`
	GPU      int64    `cbor:"8,keyasint"`
	Labels   []string `cbor:"9,keyasint"`
	// RemainingMs is the least time that a draining worker has left.
	RemainingMs int64 `cbor:"10,keyasint,omitempty"`
	// Seq rises with each of its heartbeats.
	Seq int64 `cbor:"-"`
}

// Run is a run at work on a worker.
type Run struct {
	_          struct{} `cbor:",toarray"`
	Task       string
	Run        int
	Checkpoint string
	// Percent is how far the run is; for a lasting task 100 once it is at work.
	Percent int
	// Load is the tail latency in milliseconds of a task that serves, and the processor use of others.
	Load int64
}

// How says how a run ended.
type How string

// Ways in which a run ends.
const (
	Done    How = "done"
	Failed  How = "failed"
	Stopped How = "stopped"
	Lapsed  How = "lapsed"
	// Broken means that another member of the gang ended, Alone that the others did not come in time.
	Broken How = "broken"
	Alone  How = "alone"
)

// End is an end of a run that the worker was not yet told to forget.
type End struct {
	_ struct{} `cbor:",toarray"`
	// Number counts the ends of one life of the worker, from 1.
	Number     int64
	Task       string
	Run        int
	How        How
	Checkpoint string
}

// Refusal is a start that a worker refused.
type Refusal struct {
	Task   string `cbor:"1,keyasint"`
	Run    int    `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint"`
}

// Reasons of refusals.
const (
	ReasonRoom      = "room"
	ReasonTicket    = "ticket"
	ReasonOld       = "old"
	ReasonLate      = "late"
	ReasonFence     = "fence"
	ReasonUnhealthy = "unhealthy"
	ReasonInvalid   = "invalid"
	// ReasonGone means that the worker's life ended before the order was carried out.
	ReasonGone = "gone"
)

// Report is a message of a side process.
type Report struct {
	// SentMs is the side process's clock, which counts suspended time, when the message was made.
	SentMs int64 `cbor:"1,keyasint"`
	// Worker is nil until the worker has registered.
	Worker *Worker `cbor:"2,keyasint,omitempty"`
	// Leaving means that the worker said that it ends now.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Listed is true if Runs holds what the worker listed; the lists were read after the fence was raised.
	Listed bool  `cbor:"4,keyasint,omitempty"`
	Runs   []Run `cbor:"5,keyasint,omitempty"`
	Ends   []End `cbor:"6,keyasint,omitempty"`
	// OrdersDone is the highest number of orders up to which all are answered; with lists, before these were read.
	OrdersDone uint64    `cbor:"7,keyasint,omitempty"`
	Refusals   []Refusal `cbor:"8,keyasint,omitempty"`
	// LeaseLeftMs is the time after which nothing of this life can be at work unless the lease is renewed. It bounds
	// what a worker that does not answer may still do.
	LeaseLeftMs int64 `cbor:"9,keyasint"`
	// Answered is the newest Orders.Answered that was received on this connection. An answer on its way makes
	// LeaseLeftMs too short.
	Answered int64 `cbor:"13,keyasint,omitempty"`
	// SilentMs is for how long the worker has not answered.
	SilentMs int64 `cbor:"10,keyasint,omitempty"`
	// Epoch is the highest epoch that the side process has met.
	Epoch uint64 `cbor:"11,keyasint,omitempty"`
	// Fence is the one with which the lists were read.
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

// ReadMessage reads one message into v.
func ReadMessage(r io.Reader, v any) error {
	var header [frameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return fmt.Errorf("receive %T: %w", v, err)
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrame {
		return fmt.Errorf("receive %T: %w", v, errdefs.New(errdefs.Invalid, fmt.Sprintf("%d bytes are too many", n), "close the connection"))
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return fmt.Errorf("receive %T: %w", v, err)
	}
	return work.Decode(body, v)
}
