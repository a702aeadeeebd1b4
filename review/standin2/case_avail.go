package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["avail"] = playAvail }

const (
	serving = "00000000000000b1"
	filling = "00000000000000b2"
	// mayMiss is may_miss of the step of the job that fills.
	mayMiss = 1
)

// attendance tells which tasks of a step are at work.
type attendance struct {
	w  *world
	mu sync.Mutex
	// away holds the tasks that an order has ended and that are not at work again.
	away   map[string]bool
	broken string
}

// stopped records that an order ends a task of the step.
func (a *attendance) stopped(worker, task string, r *workerRun) {
	if !strings.HasPrefix(task, filling+".") || time.Since(r.began) < startup {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	others := len(a.away)
	a.w.rec("check: an order ends %s, which is at work on %s (a sound worker that is not draining), while %d others of its step are away", task, worker, others)
	if others >= mayMiss && a.broken == "" {
		a.broken = fmt.Sprintf("AVAIL: an order ends %s while %d others are away; may_miss is %d", task, others, mayMiss)
	}
	a.away[task] = true
}

// started records that a task is started again. It is at work after its startup.
func (a *attendance) started(task string) {
	time.AfterFunc(startup, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.away, task)
	})
}

// playAvail has four serving tasks, with a lasting task that fills beside each of them. The load of the serving tasks rises, so
// that the tasks that fill are paced down, and an empty worker is added.
func playAvail(w *world, trouble bool) (string, error) {
	fronts, workers, err := w.small(1, 4)
	if err != nil {
		return "", err
	}
	a := &attendance{w: w, away: map[string]bool{}}
	watch := func(k *worker) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.disturbed, k.load = 1.5, 0.3
		k.onStop = func(task string, r *workerRun) { a.stopped(k.address, task, r) }
		k.onStart = a.started
	}
	for _, k := range workers {
		watch(k)
	}
	if !w.submit(fronts[0], serving, `{"spec":"how=lasts cpu=4000 role=serve","steps":[{"count":4,"cpu":4000,"mem_mb":1000,"est_ms":400,"long_running":true,"image":"web","target_ms":50,"anti_affinity":1}]}`) {
		return "", fmt.Errorf("the job that serves was not accepted")
	}
	time.Sleep(3 * time.Second)
	if !w.submit(fronts[0], filling, fmt.Sprintf(`{"spec":"how=lasts cpu=6000 role=fill","steps":[{"count":4,"cpu":6000,"mem_mb":1000,"est_ms":400,"long_running":true,"image":"crawl","fills":true,"may_miss":%d}]}`, mayMiss)) {
		return "", fmt.Errorf("the job that fills was not accepted")
	}
	time.Sleep(8 * time.Second)
	for _, k := range workers {
		if k.running(serving) != 1 || k.running(filling) != 1 {
			return "", fmt.Errorf("worker %s has %d serving and %d filling tasks instead of one of each", k.address, k.running(serving), k.running(filling))
		}
	}
	if trouble {
		w.rec("trouble: the load of the serving tasks rises from 0.3 to 0.7")
		for _, k := range workers {
			k.mu.Lock()
			k.load = 0.7
			k.mu.Unlock()
		}
	}
	time.Sleep(6 * time.Second)
	if trouble {
		w.rec("trouble: an empty worker is added (scale_out, a quarter more)")
		k, err := w.addWorker(5)
		if err != nil {
			return "", err
		}
		watch(k)
	}
	time.Sleep(12 * time.Second)
	a.mu.Lock()
	defer a.mu.Unlock()
	w.rec("check: at the end %d tasks of the step are away", len(a.away))
	return a.broken, nil
}
