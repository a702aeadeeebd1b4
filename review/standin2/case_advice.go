package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["advice"] = playAdvice }

const (
	// fleetSize is the number of workers, and added the number of those that scale_out adds: a quarter more.
	fleetSize = 88
	added     = fleetSize / 4
	// decideTime and eachTime are how long the adviser takes for a call and for a worker in it, validMs how long a ticket is valid.
	decideTime = 20 * time.Millisecond
	eachTime   = 200 * time.Microsecond
	validMs    = 3000
	// maxNamed is the most workers that one call may name.
	maxNamed = 100
)

// adviser is a stand-in of the service that knows which workers may run a step. It handles one call at a time.
type adviser struct {
	w       *world
	mu      sync.Mutex
	allowed string
	calls   int
}

// ServeHTTP implements http.Handler.
func (a *adviser) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil || len(call.Workers) > maxNamed {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	time.Sleep(decideTime + time.Duration(len(call.Workers))*eachTime)
	good := [][2]string{}
	for _, id := range call.Workers {
		if a.allowed == "" || id == a.allowed {
			good = append(good, [2]string{id, "ticket-" + call.Step})
		}
	}
	a.calls++
	a.w.rec("adviser: %s with %d workers: %d may run it", call.Step, len(call.Workers), len(good))
	_ = json.NewEncoder(rw).Encode(map[string]any{"good": good, "valid_ms": validMs})
}

// playAdvice has a fleet to which a quarter more workers are added, so that it has more than one call to the adviser may name.
// The policy allows one of the newest workers only to run the step of a job.
func playAdvice(w *world, trouble bool) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	a := &adviser{w: w}
	server := &http.Server{Handler: a}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	w.adviser = ln.Addr().String()
	w.policy = fmt.Sprintf(`,"advice":{"decide_ms":20,"each_ms":0.2,"valid_ms":%d}`, validMs)
	fronts, workers, err := w.small(1, fleetSize)
	if err != nil {
		return "", err
	}
	if trouble {
		w.rec("trouble: %d empty workers are added to %d (scale_out)", added, fleetSize)
		for i := range added {
			k, err := w.addWorker(fleetSize + i + 1)
			if err != nil {
				return "", err
			}
			workers = append(workers, k)
			time.Sleep(2 * time.Second / added)
		}
	}
	time.Sleep(2 * contact)
	a.mu.Lock()
	a.allowed = workers[len(workers)-1].life.id
	w.rec("adviser: the policy allows %s only to run the steps of the queue", a.allowed)
	a.mu.Unlock()
	return w.judgeLost(fronts[0], workers)
}
