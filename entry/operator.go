package entry

import (
	"context"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/core/members"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/record"
)

func (e *Entry) routeOperator() {
	h := e.operator
	h.GET("/-/health", e.health)
	h.POST("/v1/config", e.guard(e.postConfig))
	h.GET("/v1/config/changes/:id", e.guard(e.getChange))
	h.GET("/v1/contracts", e.guard(e.getContracts))
	h.GET("/v1/zones", e.guard(e.getZones))
	h.GET("/v1/endpoints", e.guard(e.getEndpoints))
	h.GET("/v1/workers", e.guard(e.getWorkers))
	h.GET("/v1/status", e.guard(e.getStatus))
	h.GET("/v1/audit", e.guard(e.getAudit))
	h.GET("/v1/inforce", e.guard(e.getInForce))
	h.GET("/v1/jobs", e.guard(func(_ context.Context, c *app.RequestContext) {
		httpserver.JSON(c, 200, e.jobSummaries(c.Query("customer")))
	}))
	h.GET("/v1/jobs/*id", e.guard(func(ctx context.Context, c *app.RequestContext) {
		e.writeAccount(ctx, c, 200, strings.TrimPrefix(c.Param("id"), "/"))
	}))
	h.DELETE("/v1/jobs/*id", e.guard(func(ctx context.Context, c *app.RequestContext) {
		e.cancel(ctx, c, strings.TrimPrefix(c.Param("id"), "/"), "operator "+operatorName(c))
	}))
	h.GET("/v1/requests/:customer/:key", e.guard(func(_ context.Context, c *app.RequestContext) {
		e.writeRequest(c, c.Param("customer"), c.Param("key"))
	}))
	h.GET("/v1/explain/task/*id", e.guard(func(_ context.Context, c *app.RequestContext) {
		var lines []string
		e.read(func(s *core.State) { lines = s.Decider.ExplainPlacement(strings.TrimPrefix(c.Param("id"), "/")) })
		httpserver.JSON(c, 200, lines)
	}))
}

// guard checks the operators' token.
func (e *Entry) guard(next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if err := e.operatorAllowed(c); err != nil {
			e.refuse(c, err, true)
			return
		}
		next(ctx, c)
	}
}

func operatorName(c *app.RequestContext) string {
	if name := string(c.GetHeader("X-Operator")); name != "" {
		return name
	}
	return "unnamed"
}

func (e *Entry) getContracts(_ context.Context, c *app.RequestContext) {
	list := []config.ContractVersion{}
	e.read(func(s *core.State) {
		for _, name := range s.Config.Customers() {
			list = append(list, *s.Config.Contracts[name])
		}
	})
	httpserver.JSON(c, 200, list)
}

func (e *Entry) getZones(_ context.Context, c *app.RequestContext) {
	list := []config.ZoneVersion{}
	e.read(func(s *core.State) {
		for _, name := range s.Config.ZoneNames() {
			list = append(list, *s.Config.Zones[name])
		}
	})
	httpserver.JSON(c, 200, list)
}

// EndpointView is an endpoint as this entry knows it.
type EndpointView struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Up       bool   `json:"up"`
	Drained  bool   `json:"drained"`
	Address  string `json:"address"`
	Free     int    `json:"slots_free"`
	Queue    int    `json:"queue"`
	Revision uint64 `json:"revision"`
}

func viewOf(ep *members.Endpoint) EndpointView {
	return EndpointView{
		ID: ep.ID, Service: ep.Service, Zone: ep.Zone, State: string(ep.State), Up: ep.EndpointUp, Drained: ep.Drained,
		Address: ep.Address, Free: ep.SlotsFree, Queue: ep.Queue, Revision: ep.Revision,
	}
}

func (e *Entry) getEndpoints(_ context.Context, c *app.RequestContext) {
	list := []EndpointView{}
	e.read(func(s *core.State) {
		for _, ep := range s.Members.All() {
			list = append(list, viewOf(ep))
		}
	})
	httpserver.JSON(c, 200, list)
}

func (e *Entry) getWorkers(_ context.Context, c *app.RequestContext) {
	type view struct {
		ID        string           `json:"id"`
		Zone      string           `json:"zone"`
		Rack      string           `json:"rack"`
		Capacity  record.Resources `json:"capacity"`
		Committed record.Resources `json:"committed"`
		Lost      bool             `json:"lost"`
		Tasks     int              `json:"tasks"`
	}
	list := []view{}
	e.read(func(s *core.State) {
		for _, id := range s.Region.WorkerIDs() {
			w := s.Region.Workers[id]
			list = append(list, view{w.ID, w.Zone, w.Rack, w.Capacity, w.Committed, w.Lost, len(w.Tasks)})
		}
	})
	httpserver.JSON(c, 200, list)
}

// Status summarizes an entry.
type Status struct {
	Entry    string `json:"entry"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	Draining bool   `json:"draining"`
	Revision uint64 `json:"revision"`
	Epoch    uint64 `json:"epoch"`
	Decider  string `json:"decider"`
	Acting   bool   `json:"acting"`
	Witness  string `json:"witness"`
	LogFresh bool   `json:"log_fresh"`
	Entries  int    `json:"entries"`
	Jobs     int    `json:"jobs"`
	Workers  int    `json:"workers"`
}

func (e *Entry) getStatus(_ context.Context, c *app.RequestContext) {
	st := Status{
		Entry: e.set.ID, Region: e.set.Region, Zone: e.set.Zone, Ready: e.ready.Load(), Draining: e.draining.Load(),
		Entries: len(e.peers.live()) + 1,
	}
	e.read(func(s *core.State) {
		now := e.now()
		st.Revision = s.Config.Revision
		st.Epoch, st.Decider = s.Authority.Epoch()
		st.Acting = s.Authority.Valid(now)
		st.Witness = s.Authority.Claim().Witness
		st.LogFresh = s.Authority.LogFresh(now, 2*time.Second)
		st.Jobs, st.Workers = len(s.Region.Jobs), len(s.Region.Workers)
	})
	httpserver.JSON(c, 200, st)
}

func (e *Entry) getAudit(_ context.Context, c *app.RequestContext) {
	list := []config.Outcome{}
	e.read(func(s *core.State) { list = append(list, s.Config.Audit...) })
	httpserver.JSON(c, 200, list)
}
