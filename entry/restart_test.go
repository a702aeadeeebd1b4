package entry

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/external/memlog"
)

// Guards against requests sent on kept-alive connections to the previous run of a restarted side process. Their outcome
// would be unknown.
func TestRequestsAfterSideRestart(t *testing.T) {
	side := &fakeSide{echo: func(id string) string { return id }}
	e := startEntries(t, 1, memlog.New(memlog.Options{}), side, func(*Entry) {})[0]
	client := control.NewEntryProtobufClient("http://"+e.ControlAddress(), http.DefaultClient)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	// After a lost answer an entry asks for the outcome, which a new run does not know.
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/-/start" {
			w.Header().Set(control.HeaderRequestID, r.Header.Get(control.HeaderRequestID))
			w.Header().Set(control.HeaderOutcome, "unknown")
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		side.ServeHTTP(w, r)
	})
	for run := range uint64(2) {
		srv := &http.Server{Handler: handler}
		go func() { _ = srv.Serve(ln) }()
		_, err = client.Announce(t.Context(), &control.AnnounceRequest{
			Process: &control.Process{Id: "instance-01", Incarnation: 2 + run, Zone: "midshire-a"}, Sequence: 1, Service: "fitcheck",
			Address: address, Slots: 8, SlotsFree: 8, EndpointUp: true,
		})
		assert.NilError(t, err)
		var sent sync.WaitGroup
		for i := range 4 {
			sent.Go(func() {
				status, body := post(t, "http://"+e.PublicAddress()+"/fitcheck/seat", fmt.Sprintf("r%d-%d", run, i), "", "seat")
				assert.Check(t, status == http.StatusOK, "run %d: %s", run, body)
			})
		}
		sent.Wait()
		assert.NilError(t, srv.Close())
		if run == 0 {
			ln, err = net.Listen("tcp", address)
			assert.NilError(t, err)
		}
	}
}
