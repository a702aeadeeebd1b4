package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["burst"] = func(w *world, trouble bool) (string, error) { return playBurst(w, trouble, false) }
	cases["burst-skip"] = func(w *world, trouble bool) (string, error) { return playBurst(w, trouble, true) }
}

const (
	// perSecond is the usual number of jobs a second, and burstFactor times as many come in the burst.
	perSecond   = 7.0
	burstFactor = 2.6
	burstTime   = 4 * time.Second
	// usualBefore and usualAfter are how long the usual traffic lasts before and after the burst.
	usualBefore = 8 * time.Second
	usualAfter  = 12 * time.Second
	// burstDecide and burstEach are the times of the adviser: 72 ms for 11 workers, 14 calls a second.
	burstDecide = 50 * time.Millisecond
	burstEach   = 2 * time.Millisecond
)

// playBurst has the usual traffic on a queue with advice, with a burst in it.
func playBurst(w *world, trouble, skips bool) (string, error) {
	a, server, err := w.startAdviser(burstDecide, burstEach)
	if err != nil {
		return "", err
	}
	defer server.Close()
	a.skips = skips
	fronts, workers, err := w.small(1, siteSize)
	if err != nil {
		return "", err
	}
	time.Sleep(contact)
	var mu sync.Mutex
	var accepted []string
	var clients sync.WaitGroup
	sent := 0
	traffic := func(what string, rate float64, length time.Duration) {
		w.rec("clients: %s, %.1f jobs a second for %v", what, rate, length)
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for end := time.Now().Add(length); time.Now().Before(end); {
			<-ticker.C
			sent++
			id := fmt.Sprintf("%016x", 0xc000+sent)
			clients.Add(1)
			go func() {
				defer clients.Done()
				if w.submit(fronts[0], id, ordinary(640)) {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
			}()
		}
	}
	traffic("the usual traffic", perSecond, usualBefore)
	if trouble {
		traffic("trouble: a burst", burstFactor*perSecond, burstTime)
	} else {
		traffic("no burst", perSecond, burstTime)
	}
	traffic("the usual traffic", perSecond, usualAfter)
	clients.Wait()
	w.rec("clients: the traffic has ended, %d of %d jobs were accepted", len(accepted), sent)
	time.Sleep(finish)
	idle := func() map[string]bool {
		list := map[string]bool{}
		for _, id := range accepted {
			starts := 0
			for _, k := range workers {
				starts += k.startsOf(id)
			}
			if starts == 0 {
				list[id] = true
			}
		}
		return list
	}
	a.mu.Lock()
	w.rec("check: the adviser has handled %d calls, of %d of them the caller had left; %d wait", a.handled, a.abandoned, len(a.calls))
	a.mu.Unlock()
	if err := checkRoom(workers, workers); err != nil {
		return "", err
	}
	before := idle()
	time.Sleep(idleLimit)
	after := idle()
	if err := checkRoom(workers, workers); err != nil {
		return "", err
	}
	w.rec("check: %v after the end of the traffic %d jobs had never been started, and %d were not in the 3 s that followed", finish, len(before), len(after))
	for id := range after {
		status, body := w.call(fronts[0], http.MethodGet, "/q/"+id, "", 3*time.Second)
		return fmt.Sprintf("LOST: %d of %d accepted jobs have nothing running for 3 s, %v after the end of the traffic, with room and under half of the capacity in use; %s is answered with %d %s",
			len(after), len(accepted), finish, id, status, body), nil
	}
	return "", nil
}
