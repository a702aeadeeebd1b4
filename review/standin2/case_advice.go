package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["advice"] = playAdvice
	cases["late-advice"] = playLateAdvice
	cases["silent-advice"] = func(w *world, trouble bool) (string, error) { return playAdviserOut(w, trouble, 0) }
	cases["busy-advice"] = func(w *world, trouble bool) (string, error) {
		return playAdviserOut(w, trouble, http.StatusTooManyRequests)
	}
}

const (
	// fleetSize is the number of workers, and added the number of those that scale_out adds: a quarter more.
	fleetSize = 88
	added     = fleetSize / 4
	// siteSize is the number of workers of the small sites.
	siteSize = 11
	// decideTime and eachTime are how long the adviser takes for a call and for a worker in it, validMs how long a ticket is valid.
	decideTime = 20 * time.Millisecond
	eachTime   = 200 * time.Microsecond
	validMs    = 3000
	// maxNamed is the most workers that one call may name.
	maxNamed = 100
)

// maxWaiting is the number of waiting calls from which the adviser answers 429.
const maxWaiting = 32

// adviser is a stand-in of the service that knows which workers may run a step. It handles one call at a time, in the order of
// their arrival.
type adviser struct {
	w *world
	// calls holds the calls that wait.
	calls chan *adviseCall
	mu    sync.Mutex
	// handled and abandoned count the calls that were handled, and those of them whose caller had left before.
	handled, abandoned int
	allowed            string
	// decide and each are how long a call takes, and each worker in it.
	decide, each time.Duration
	// out is true while the adviser refuses calls with a status, or answers none if that is 0.
	out bool
	// skips is true if a call whose caller has left is not handled.
	skips  bool
	status int
}

// adviseCall is a call that the adviser has accepted.
type adviseCall struct {
	Step    string   `json:"step"`
	Workers []string `json:"workers"`
	// left is closed when the caller has left, done when the call is handled.
	left <-chan struct{}
	done chan struct{}
	good [][2]string
}

// ServeHTTP implements http.Handler.
func (a *adviser) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	call := &adviseCall{left: r.Context().Done(), done: make(chan struct{}), good: [][2]string{}}
	if json.NewDecoder(r.Body).Decode(call) != nil || len(call.Workers) > maxNamed {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	out, status := a.out, a.status
	a.mu.Unlock()
	if out && status == 0 {
		<-call.left
		return
	}
	if out {
		rw.WriteHeader(status)
		return
	}
	select {
	case a.calls <- call:
	default:
		a.w.rec("adviser: %s: %d calls wait; 429", call.Step, maxWaiting)
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	<-call.done
	_ = json.NewEncoder(rw).Encode(map[string]any{"good": call.good, "valid_ms": validMs})
}

// handle handles the calls in turn.
func (a *adviser) handle() {
	for call := range a.calls {
		a.mu.Lock()
		a.handled++
		took, allowed, skip := a.decide+time.Duration(len(call.Workers))*a.each, a.allowed, false
		select {
		case <-call.left:
			a.abandoned++
			skip = a.skips
		default:
		}
		a.mu.Unlock()
		if !skip {
			time.Sleep(took)
			for _, id := range call.Workers {
				if allowed == "" || id == allowed {
					call.good = append(call.good, [2]string{id, "ticket-" + call.Step})
				}
			}
			a.w.rec("adviser: %s with %d workers: %d may run it", call.Step, len(call.Workers), len(call.good))
		}
		close(call.done)
	}
}

// startAdviser starts an adviser and makes the queue one that needs it.
func (w *world) startAdviser(decide, each time.Duration) (*adviser, *http.Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	a := &adviser{w: w, calls: make(chan *adviseCall, maxWaiting), decide: decide, each: each}
	go a.handle()
	server := &http.Server{Handler: a}
	go func() { _ = server.Serve(ln) }()
	w.adviser = ln.Addr().String()
	w.policy = fmt.Sprintf(`,"advice":{"decide_ms":%g,"each_ms":%g,"valid_ms":%d}`, float64(decide)/1e6, float64(each)/1e6, validMs)
	return a, server, nil
}

// playAdvice has a fleet to which a quarter more workers are added, so that it has more than one call to the adviser may name.
// The policy allows one of the newest workers only to run the step of a job.
func playAdvice(w *world, trouble bool) (string, error) {
	a, server, err := w.startAdviser(decideTime, eachTime)
	if err != nil {
		return "", err
	}
	defer server.Close()
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
	last := workers[len(workers)-1]
	a.allowed = last.lifeID()
	w.rec("adviser: the policy allows %s only to run the steps of the queue", a.allowed)
	a.mu.Unlock()
	return w.judgeLost(fronts[0], workers, []*worker{last}, ordinary(300))
}

// playLateAdvice has an adviser that takes 2.1 s for a call on all workers, as its queue says.
func playLateAdvice(w *world, trouble bool) (string, error) {
	a, server, err := w.startAdviser(decideTime, eachTime)
	if err != nil {
		return "", err
	}
	defer server.Close()
	if trouble {
		w.policy = fmt.Sprintf(`,"advice":{"decide_ms":1000,"each_ms":100,"valid_ms":%d}`, validMs)
	}
	fronts, workers, err := w.small(1, siteSize)
	if err != nil {
		return "", err
	}
	if trouble {
		a.mu.Lock()
		a.decide, a.each = time.Second, 100*time.Millisecond
		a.mu.Unlock()
	}
	time.Sleep(contact)
	return w.judgeLost(fronts[0], workers, workers, ordinary(300))
}

// playAdviserOut has an adviser that is out for 6 s, with a job that is handed in meanwhile.
func playAdviserOut(w *world, trouble bool, status int) (string, error) {
	a, server, err := w.startAdviser(decideTime, eachTime)
	if err != nil {
		return "", err
	}
	defer server.Close()
	fronts, workers, err := w.small(1, siteSize)
	if err != nil {
		return "", err
	}
	if trouble {
		w.rec("trouble: the adviser is out for 6 s")
		a.mu.Lock()
		a.out, a.status = true, status
		a.mu.Unlock()
		time.AfterFunc(6*time.Second, func() {
			a.mu.Lock()
			a.out = false
			a.mu.Unlock()
			w.rec("trouble: the adviser is back")
		})
	}
	return w.judgeLost(fronts[0], workers, workers, ordinary(300))
}
