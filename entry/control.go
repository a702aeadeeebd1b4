package entry

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/common/adaptor"
	hconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/fxamacker/cbor/v2"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/decider"
	"github.com/verbenakeel/verbenakeel/core/holder"
	"github.com/verbenakeel/verbenakeel/core/members"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/record"
)

// maxPollWait bounds how long the answer to a poll is withheld.
const maxPollWait = 30 * time.Second

// minimalHeaders omits reply headers that no process reads: 52 bytes per reply.
var minimalHeaders = hconfig.Option{F: func(o *hconfig.Options) { o.NoDefaultDate, o.NoDefaultServerHeader = true, true }}

func (e *Entry) routeControl() {
	e.control.Use(e.countControl)
	srv := control.NewEntryServer(&controlServer{e})
	e.control.GET(waitPath+"*job", e.getWait)
	e.control.Any(srv.PathPrefix()+"*method", withInstances(adaptor.HertzHandler(srv)))
}

// controlServer implements the control API for the system's own processes.
type controlServer struct{ e *Entry }

var _ control.Entry = (*controlServer)(nil)

// Announce implements control.Entry.
func (s *controlServer) Announce(ctx context.Context, r *control.AnnounceRequest) (*control.AnnounceResponse, error) {
	if r.Process == nil || r.Process.Id == "" {
		return nil, twirp.RequiredArgumentError("process.id")
	}
	e := s.e
	if err := e.checkInstance(ctx, r.Process.Id); err != nil {
		return nil, err
	}
	next, early := e.heartbeatInterval(), e.announcedEarly(r.Process.Id)
	resp := &control.AnnounceResponse{NextHeartbeatMs: uint32(next.Milliseconds()), Peers: e.peerList()}
	a := toAnnouncement(r)
	a.Interval = next
	for _, eff := range e.step(core.AnnouncementReceived{Announcement: a}) {
		if t, ok := eff.(core.AnnouncementResult); ok && t.Verdict == members.Superseded {
			resp.SupersededBy = t.SupersededBy
		}
	}
	e.read(func(st *core.State) {
		resp.Revision = st.Config.Revision
		if v := st.Config.Shutdowns[r.Process.Id]; v != nil {
			resp.Shutdown = &control.ShutdownOrder{
				Drain: v.Shutdown.Drain, LimitMs: uint32(v.Shutdown.LimitMs), Revision: v.Revision,
			}
		}
		if c, _, ok := st.Config.Service(r.Service); ok && st.Config.Contracts[c.Customer].Revision > r.Revision {
			if data, err := cbor.Marshal(c); err == nil {
				resp.Contracts = append(resp.Contracts, data)
			}
		}
	})
	e.pacer.recordAnnouncement(time.Since(e.start), proto.Size(r)+proto.Size(resp), early)
	return resp, nil
}

func toAnnouncement(r *control.AnnounceRequest) members.Announcement {
	return members.Announcement{
		ID: r.Process.Id, Incarnation: r.Process.Incarnation, Sequence: r.Sequence, Zone: r.Process.Zone,
		Rack: r.Process.Rack, Service: r.Service, Address: r.Address, Slots: int(r.Slots), SlotsFree: int(r.SlotsFree),
		Queue: int(r.QueueLength), Latency: time.Duration(r.LatencyUs) * time.Microsecond, Draining: r.Draining,
		Drained: r.Drained, EndpointUp: r.EndpointUp, Revision: r.Revision,
	}
}

// Sync implements control.Entry. It withholds the answer until there are updates for the worker or the wait has passed.
func (s *controlServer) Sync(ctx context.Context, r *control.SyncRequest) (*control.SyncResponse, error) {
	if r.Process == nil || r.Process.Id == "" || r.Capacity == nil {
		return nil, twirp.RequiredArgumentError("process.id and capacity")
	}
	e := s.e
	if err := e.checkInstance(ctx, r.Process.Id); err != nil {
		return nil, err
	}
	poll := toPoll(r)
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, maxPollWait)
	poll, err := e.awaitPollReady(ctx, poll, wait)
	if err != nil {
		return nil, err
	}
	for _, eff := range e.step(core.AnswerRequested{Poll: poll}) {
		if a, ok := eff.(core.Answered); ok {
			return e.syncResponse(a)
		}
	}
	return nil, twirp.InternalError("the poll got no answer")
}

func (e *Entry) syncResponse(a core.Answered) (*control.SyncResponse, error) {
	if a.Err != nil {
		resp := &control.SyncResponse{}
		e.read(func(st *core.State) { resp.DeciderAddress = st.Authority.Address() })
		if resp.DeciderAddress == e.advertised() {
			resp.DeciderAddress = ""
		}
		if errdefs.KindOf(a.Err) == errdefs.Unavailable {
			return resp, nil
		}
		return nil, twirp.InternalErrorWith(a.Err)
	}
	r := a.Answer
	resp := &control.SyncResponse{
		Epoch: r.Epoch, Sequence: r.Sequence, LeaseMs: uint32(r.LeaseMs), ServiceLeaseMs: uint32(r.ServiceLeaseMs),
		PermitMs: uint32(r.PermitMs), StartsWaiting: r.StartsWaiting, RenewedAll: r.RenewedAll, HeldKnown: r.HeldKnown,
		UsageKnown: r.UsageKnown,
		NextPollMs: uint32(e.set.Decider.PollEvery.Milliseconds()),
	}
	for _, t := range r.Starts {
		resp.Starts = append(resp.Starts, toStartOrder(t))
	}
	for _, o := range r.Orders {
		resp.Orders = append(resp.Orders, &control.TaskOrder{
			Task: o.Task, Attempt: o.Attempt, Action: string(o.Action), Reason: o.Reason, ShareMilli: uint32(o.ShareMilli),
		})
	}
	for _, t := range r.Renewed {
		resp.Renewed = append(resp.Renewed, &control.HeldTask{Task: t.Task, Attempt: t.Attempt})
	}
	for _, t := range r.Acknowledged {
		resp.Acknowledged = append(resp.Acknowledged, &control.EndedTask{Task: t.Task, Attempt: t.Attempt})
	}
	return resp, nil
}

func toStartOrder(t external.TaskSpec) *control.StartOrder {
	return &control.StartOrder{
		Task: t.Task, Attempt: t.Attempt, Customer: t.Customer, Kind: string(t.Kind),
		Resources: &control.Resources{
			CpuMilli: uint32(t.Size.CPUMilli), MemoryMb: uint32(t.Size.MemoryMB), Accelerators: uint32(t.Size.Accelerators),
		},
		CheckpointMs: uint32(t.CheckpointMs), RunMs: uint32(t.RunMs), Service: t.Kind == record.ServiceJob, Command: t.Command,
	}
}

func toPoll(r *control.SyncRequest) decider.Poll {
	p := decider.Poll{
		Worker: r.Process.Id, Incarnation: r.Process.Incarnation, Zone: r.Process.Zone, Rack: r.Process.Rack,
		Capacity: record.Resources{
			CPUMilli: int64(r.Capacity.CpuMilli), MemoryMB: int64(r.Capacity.MemoryMb), Accelerators: int64(r.Capacity.Accelerators),
		},
		Epoch: r.Epoch, Sequence: r.Sequence, WantStarts: r.WantStarts, HeldByDigest: r.HeldByDigest, HeldDigest: r.HeldDigest,
		UsagePartial: r.UsagePartial, UsageAgeMs: int64(r.UsageAgeMs), UsageDigest: r.UsageDigest, TakesRenewedAll: r.TakesRenewedAll,
	}
	for _, h := range r.Held {
		p.Held = append(p.Held, holder.AttemptRef{Task: h.Task, Attempt: h.Attempt})
	}
	for _, t := range r.Ended {
		p.Ended = append(p.Ended, record.End{
			Task: t.Task, Attempt: t.Attempt, Outcome: record.Outcome(t.Outcome), Reason: t.Reason,
			CheckpointMs: int64(t.CheckpointMs), RanMs: int64(t.RanMs),
		})
	}
	for _, u := range r.Usage {
		p.Usage = append(p.Usage, external.TaskUsage{
			Task: u.Task, Attempt: u.Attempt, AgeMs: int64(u.AgeMs),
			Used:       record.Resources{CPUMilli: int64(u.CpuMilli), MemoryMB: int64(u.MemoryMb)},
			SpeedMilli: int64(u.SpeedMilli), LatencyP99Us: int64(u.LatencyP99Us),
		})
	}
	return p
}

// Promise implements control.Entry.
func (s *controlServer) Promise(_ context.Context, r *control.PromiseRequest) (*control.PromiseResponse, error) {
	resp := &control.PromiseResponse{Incarnation: s.e.peerIncarnation.Load()}
	s.e.read(func(st *core.State) { resp.Promised = st.Authority.Promise(r.Epoch, r.WitnessIncarnation) })
	return resp, nil
}

// Release implements control.Entry.
func (s *controlServer) Release(_ context.Context, r *control.ReleaseRequest) (*control.ReleaseResponse, error) {
	resp := &control.ReleaseResponse{Incarnation: s.e.peerIncarnation.Load()}
	s.e.read(func(st *core.State) { resp.Released = st.Authority.Release(r.Epoch, r.WitnessIncarnation) })
	return resp, nil
}

// Hold implements control.Entry.
func (s *controlServer) Hold(_ context.Context, r *control.HoldRequest) (*control.HoldResponse, error) {
	if r.Zone == "" {
		return nil, twirp.RequiredArgumentError("zone")
	}
	return &control.HoldResponse{Held: s.e.hold(r.Zone, time.Duration(r.DurationMs)*time.Millisecond, r.Revision)}, nil
}

// hold stops starts in a zone for the duration. Revision is the configuration that the requesting entry had applied; nil if
// it is not known. hold returns false if a later change has brought the zone back into service, so that nothing is held.
func (e *Entry) hold(zone string, d time.Duration, revision *uint64) bool {
	for _, eff := range e.step(core.ZoneHoldRequested{Zone: zone, Duration: d, Revision: revision}) {
		if _, ok := eff.(core.HoldDropped); ok {
			return false
		}
	}
	e.log.Log(logevent.ZoneHeld, logevent.Str("zone", zone), logevent.Int("ms", d.Milliseconds()))
	return true
}

// Export implements control.Entry.
func (s *controlServer) Export(_ context.Context, r *control.ExportRequest) (*control.ExportResponse, error) {
	data, offset, age, err := s.e.exportState(r.Stream)
	if err != nil {
		return nil, twirp.InvalidArgumentError("stream", err.Error())
	}
	return &control.ExportResponse{Offset: offset, AgeMs: uint32(age.Milliseconds()), State: data}, nil
}
