package entry

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/core/members"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/record"
)

func (e *Entry) routeOperator() {
	h := e.operator
	h.GET("/-/health", e.health)
	h.GET("/-/ready", e.getReady)
	h.GET("/metrics", e.metricsHandler())
	h.POST("/v1/config", e.requireOperator(e.postConfig))
	h.GET("/v1/config/changes/:id", e.requireOperator(e.getChange))
	h.GET("/v1/contracts", e.requireOperator(e.getContracts))
	h.GET("/v1/zones", e.requireOperator(e.getZones))
	h.GET("/v1/shutdowns", e.requireOperator(e.getShutdowns))
	h.GET("/v1/endpoints", e.requireOperator(e.getEndpoints))
	h.GET("/v1/workers", e.requireOperator(e.getWorkers))
	h.GET("/v1/status", e.requireOperator(e.getStatus))
	h.GET("/v1/audit", e.requireOperator(e.getAudit))
	h.GET("/v1/inforce", e.requireOperator(e.getInForce))
	h.GET("/v1/jobs", e.requireOperator(func(_ context.Context, c *app.RequestContext) {
		httpserver.JSON(c, 200, e.jobSummaries(c.Query("customer")))
	}))
	h.GET("/v1/jobs/*id", e.requireOperator(func(ctx context.Context, c *app.RequestContext) {
		e.writeAccount(ctx, c, 200, strings.TrimPrefix(c.Param("id"), "/"))
	}))
	h.DELETE("/v1/jobs/*id", e.requireOperator(func(ctx context.Context, c *app.RequestContext) {
		e.cancel(ctx, c, strings.TrimPrefix(c.Param("id"), "/"), "operator "+operatorName(c))
	}))
	h.GET("/v1/requests/:customer/:key", e.requireOperator(func(_ context.Context, c *app.RequestContext) {
		e.writeRequestAccount(c, c.Param("customer"), c.Param("key"))
	}))
	h.POST("/v1/customers/:customer/jobs", e.requireOperator(e.submitFor))
	h.GET("/v1/customers/:customer/jobs/:job", e.requireOperator(func(ctx context.Context, c *app.RequestContext) {
		e.writeAccount(ctx, c, 200, c.Param("customer")+"/"+c.Param("job"))
	}))
	h.GET("/v1/explain/:kind/*id", e.requireOperator(e.explainForOperator))
}

// requireOperator rejects requests without a valid operator token.
func (e *Entry) requireOperator(next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if err := e.operatorAllowed(c); err != nil {
			e.refuse(c, err, true)
			return
		}
		next(ctx, c)
	}
}

// operatorName returns the name of the operator. A client certificate takes precedence over the request's header.
func operatorName(c *app.RequestContext) string {
	if name := httpserver.PeerName(c); name != "" {
		return name
	}
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

// getShutdowns lists the shutdown orders of endpoints, including cancelled ones, because a change refers to their
// revision.
func (e *Entry) getShutdowns(_ context.Context, c *app.RequestContext) {
	list := []config.ShutdownVersion{}
	e.read(func(s *core.State) {
		for _, v := range s.Config.Shutdowns {
			list = append(list, *v)
		}
	})
	sort.Slice(list, func(i, j int) bool { return list[i].Shutdown.Endpoint < list[j].Shutdown.Endpoint })
	httpserver.JSON(c, 200, list)
}

// EndpointView is an endpoint as this entry knows it.
type EndpointView struct {
	ID        string `json:"id"`
	Service   string `json:"service"`
	Zone      string `json:"zone"`
	State     string `json:"state"`
	Up        bool   `json:"up"`
	Drained   bool   `json:"drained"`
	Address   string `json:"address"`
	SlotsFree int    `json:"slots_free"`
	Queue     int    `json:"queue"`
	Revision  uint64 `json:"revision"`
}

func newEndpointView(ep *members.Endpoint) EndpointView {
	return EndpointView{
		ID: ep.ID, Service: ep.Service, Zone: ep.Zone, State: string(ep.State), Up: ep.EndpointUp, Drained: ep.Drained,
		Address: ep.Address, SlotsFree: ep.SlotsFree, Queue: ep.Queue, Revision: ep.Revision,
	}
}

func (e *Entry) getEndpoints(_ context.Context, c *app.RequestContext) {
	list := []EndpointView{}
	e.read(func(s *core.State) {
		for _, ep := range s.Members.All() {
			list = append(list, newEndpointView(ep))
		}
	})
	httpserver.JSON(c, 200, list)
}

// WorkerView is a worker and what is committed to it.
type WorkerView struct {
	ID        string           `json:"id"`
	Zone      string           `json:"zone"`
	Rack      string           `json:"rack"`
	Capacity  record.Resources `json:"capacity"`
	Committed record.Resources `json:"committed"`
	Lost      bool             `json:"lost"`
	Tasks     int              `json:"tasks"`
}

func (e *Entry) getWorkers(_ context.Context, c *app.RequestContext) {
	list := []WorkerView{}
	e.read(func(s *core.State) {
		for _, id := range s.Region.WorkerIDs() {
			w := s.Region.Workers[id]
			list = append(list, WorkerView{w.ID, w.Zone, w.Rack, w.Capacity, w.Committed, w.Lost, len(w.Tasks)})
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
	// ConfigFresh is false while the log with the configuration does not answer. Nothing starts in the region
	// meanwhile.
	ConfigFresh bool `json:"config_fresh"`
	Entries     int  `json:"entries"`
	Jobs        int  `json:"jobs"`
	Workers     int  `json:"workers"`
}

func (e *Entry) getStatus(_ context.Context, c *app.RequestContext) {
	st := Status{
		Entry: e.set.ID, Region: e.set.Region, Zone: e.set.Zone, Ready: e.ready.Load(), Draining: e.draining.Load(),
		Entries: len(e.peers.live()) + 1,
	}
	age, dated := e.stateAge(core.ConfigStream)
	st.ConfigFresh = dated && age < 2*time.Second
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

// ChangedObject returns the object that a change concerns: its kind, a slash and its name.
func ChangedObject(change record.ConfigChange) string {
	switch {
	case change.Contract != nil:
		return "contract/" + change.Contract.Customer
	case change.Zone != nil:
		return "zone/" + change.Zone.Zone
	case change.Shutdown != nil:
		return "endpoint/" + change.Shutdown.Endpoint
	}
	return ""
}

// getAudit lists changes, oldest first. The query filters by object and operator and limits the list to the newest
// ones.
func (e *Entry) getAudit(_ context.Context, c *app.RequestContext) {
	object, operator, limit := c.Query("object"), c.Query("operator"), 0
	if v := c.Query("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 {
			e.refuse(c, errdefs.Field("limit", fmt.Sprintf("%q is not a positive number", v), "pass the number of changes to list"), true)
			return
		}
		limit = n
	}
	list := []config.Outcome{}
	e.read(func(s *core.State) {
		for _, o := range s.Config.Audit {
			if (object == "" || ChangedObject(o.Change) == object) && (operator == "" || o.Change.Operator == operator) {
				list = append(list, o)
			}
		}
	})
	if limit > 0 && len(list) > limit {
		list = list[len(list)-limit:]
	}
	httpserver.JSON(c, 200, list)
}

// submitFor accepts a job that an operator sends for a customer.
func (e *Entry) submitFor(ctx context.Context, c *app.RequestContext) {
	customer, known := c.Param("customer"), false
	e.read(func(s *core.State) { known = s.Config.Contracts[customer] != nil })
	if !known {
		e.refuse(c, errdefs.New(errdefs.NotFound, "customer "+customer+" has no contract", "publish its contract first"), true)
		return
	}
	e.submit(ctx, c, customer)
}
