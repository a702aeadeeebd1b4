package core

import (
	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/members"
	"github.com/verbenakeel/verbenakeel/core/route"
	"github.com/verbenakeel/verbenakeel/core/tasks"
)

// Step applies one event to s in place and returns its effects. It is deterministic: equal states and events give equal
// effects.
func Step(s *State, now clock.Now, ev Event) []Effect {
	switch ev := ev.(type) {
	case Folded:
		return s.applyRecord(now, ev)
	case CaughtUp:
		return s.handleCaughtUp(now, ev)
	case AnnouncementReceived:
		return s.handleAnnouncement(now, ev.Announcement)
	case Ticked:
		return s.tick(now, ev)
	case PollArrived:
		if p, ok := s.Decider.PollArrived(now, ev.Poll); ok {
			return []Effect{Withhold{p}}
		}
	case AnswerRequested:
		a, err := s.Decider.Sync(now, ev.Poll)
		return []Effect{Answered{a, err}}
	case BatchResolved:
		s.Decider.BatchDone(ev.Dropped)
	case PromiseReceived:
		s.Authority.Promised(ev.Epoch, ev.Witness, ev.Incarnation, ev.SentAt)
	case ShuttingDown:
		s.Authority.Leave()
	case ReleaseReceived:
		s.Authority.Released(now, ev.Epoch)
	case ZoneHoldRequested:
		if ev.Revision != nil && s.Config.ZoneBackAfter(ev.Zone, *ev.Revision) {
			return []Effect{HoldDropped{ev.Zone}}
		}
		if s.Decider.Hold(now, ev.Zone, ev.Duration, ev.Relayed) {
			return []Effect{HoldBegan{ev.Zone}}
		}
	case IncarnationRaised:
		s.Authority.AddIncarnation(ev.Incarnation)
	case EndpointRequested:
		return s.routeTry(now, ev)
	case TryEnded:
		s.Route.Done(now, ev.Endpoint, ev.Outcome, ev.Took)
	case LoadReported:
		s.updateLoad(now, ev)
	}
	return nil
}

func (s *State) handleAnnouncement(now clock.Now, a members.Announcement) []Effect {
	verdict, supersededBy := s.Members.Announce(now, a)
	if verdict == members.Applied && !a.Relayed {
		s.Route.Report(now, a.ID, a.Slots, a.SlotsFree, a.Queue)
	}
	return []Effect{AnnouncementResult{verdict, supersededBy}}
}

func (s *State) updateLoad(now clock.Now, ev LoadReported) {
	if e, ok := s.Members.Get(ev.Endpoint); ok {
		s.Route.Report(now, ev.Endpoint, e.Slots, ev.Free, ev.Queue)
	}
}

func (s *State) applyRecord(now clock.Now, ev Folded) []Effect {
	switch ev.Stream {
	case ConfigStream:
		return s.applyConfigRecord(now, ev)
	case RegionStream:
		return s.applyRegionRecord(now, ev)
	default:
		var effects []Effect
		for _, v := range s.Claims.Fold(ev.Offset, ev.Record) {
			effects = append(effects, ClaimResult{v})
		}
		return effects
	}
}

func (s *State) applyConfigRecord(now clock.Now, ev Folded) []Effect {
	outcomes := s.Config.Fold(ev.Offset, ev.Record)
	s.Decider.ConfigChanged(now, outcomes)
	var effects []Effect
	for _, o := range outcomes {
		effects = append(effects, ConfigResult{o})
		if o.Change.Shutdown != nil && o.Change.Shutdown.Drain {
			s.Members.Drain(o.Change.Shutdown.Endpoint)
		}
	}
	return effects
}

func (s *State) applyRegionRecord(now clock.Now, ev Folded) []Effect {
	s.Authority.ObserveRecord(now, ev.Record.Writer, ev.Record.Incarnation)
	changes := s.Region.Fold(ev.Offset, ev.Record)
	if len(s.Region.OlderEpochs) == 0 {
		s.Authority.DropOlderEpochs()
	}
	var effects []Effect
	for _, c := range changes {
		switch c := c.(type) {
		case tasks.EpochChanged:
			for _, e := range s.Authority.Claimed(now, c.Epoch, c.Writer, c.Incarnation, c.Claim, c.OlderEpochs) {
				effects = append(effects, AuthorityEffect{e})
			}
		case tasks.EpochResigned:
			s.Authority.EpochResigned(now)
		case tasks.WitnessChanged:
			s.Authority.WitnessChanged(now, c.Claim)
		}
		effects = append(effects, RegionChanged{c})
	}
	s.Decider.ApplyEffects(now, changes)
	if w := workersToNotify(changes); w.All || len(w.Workers) > 0 {
		effects = append(effects, w)
	}
	return effects
}

// workersToNotify returns the workers for whose withheld polls the changes may be news.
func workersToNotify(changes []tasks.Effect) NotifyPolls {
	var w NotifyPolls
	for _, c := range changes {
		switch c := c.(type) {
		case tasks.EpochChanged, tasks.EpochResigned:
			w.All = true
		case tasks.WorkerChanged:
			w.Workers = append(w.Workers, c.Worker.ID)
		case tasks.TaskPlaced:
			w.Workers = append(w.Workers, c.Start.Worker)
		case tasks.TaskTerminating:
			w.Workers = append(w.Workers, c.Task.Worker)
		case tasks.AttemptEnded:
			w.Workers = append(w.Workers, c.Worker)
		}
	}
	return w
}

func (s *State) handleCaughtUp(now clock.Now, ev CaughtUp) []Effect {
	switch ev.Stream {
	case ConfigStream:
		s.Decider.ConfigRead(ev.SentAt)
	case RegionStream:
		s.Authority.ObserveLogRead(now, ev.SentAt)
	}
	return nil
}

func (s *State) tick(now clock.Now, ev Ticked) []Effect {
	for _, id := range s.Members.Tick(now) {
		s.Route.Forget(id)
	}
	s.Route.Tick(now)
	var effects []Effect
	for _, e := range s.Authority.Tick(now, ev.Rank, ev.Candidate) {
		effects = append(effects, AuthorityEffect{e})
	}
	if b := s.Decider.Tick(now); b != nil {
		effects = append(effects, Append{b})
	}
	for _, a := range s.Decider.Alerts() {
		effects = append(effects, AlertRaised{a})
	}
	return effects
}

func (s *State) routeTry(now clock.Now, ev EndpointRequested) []Effect {
	switch ev.Kind {
	case FirstTry:
		s.Route.CountRequest()
	case RetryTry:
		if !s.Route.TakeRetry() {
			return []Effect{Routed{}}
		}
	case HedgeTry:
		if !s.Route.TakeHedge() {
			return []Effect{Routed{}}
		}
	}
	candidates := s.Members.Usable(ev.Service)
	eligible := candidates[:0]
	for _, e := range candidates {
		if !s.draining(e.ID) {
			eligible = append(eligible, e)
		}
	}
	e, ok := s.Route.Pick(now, route.Request{
		Service: ev.Service, Candidates: eligible, Exclude: ev.Exclude, AvoidZone: ev.AvoidZone, Seed: ev.Seed,
	})
	if !ok {
		return []Effect{Routed{}}
	}
	chosen := *e
	return []Effect{Routed{Endpoint: &chosen, HedgeAfter: s.Route.HedgeAfter(e.ID)}}
}

// draining reports whether the configuration contains a shutdown order for the endpoint.
func (s *State) draining(endpoint string) bool {
	v := s.Config.Shutdowns[endpoint]
	return v != nil && v.Shutdown.Drain
}
