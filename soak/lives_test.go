package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/platform/platformtest"
	"github.com/verbenakeel/verbenakeel/testkit/launch"
)

// lives is what happens when a worker starts again under its id and its side process is cut off soon after.
type lives struct {
	side int
	// count is the number of restarts, gap the time between them, and quiet the time from each to the first heartbeat: until then the
	// calls for the former life reach the next one.
	count      int
	gap, quiet time.Duration
	// held is the time before each restart during which calls are held back, 0 for none; one, two or three halves of late after
	// they were made, the life that is there then executes them.
	held, late time.Duration
	// untilCut is the time from the last restart to the cut, and cut is how long it lasts, which is longer than a lease.
	untilCut, cut time.Duration
	// killDecider ends the entry that decides, at a random time of the first two seconds of the cut.
	killDecider bool
	untilKill   time.Duration
}

func drawLives(rng *rand.Rand, sides int) lives {
	ms := func(from, to int) time.Duration { return time.Duration(from+rng.IntN(to-from)) * time.Millisecond }
	l := lives{side: rng.IntN(sides), count: 1 + rng.IntN(2), gap: ms(50, 1200), quiet: ms(0, 800), held: ms(50, 400), late: ms(100, 2000),
		untilCut: ms(0, 3000), cut: ms(5000, 9000), killDecider: rng.IntN(4) == 0, untilKill: ms(0, 2000)}
	if rng.IntN(2) == 0 {
		l.held = 0
	}
	return l
}

// restartWorkers restarts workers and cuts their side processes off, one after another, until ctx ends.
func (d *deployment) restartWorkers(ctx context.Context, rng *rand.Rand) {
	var kills sync.WaitGroup
	defer kills.Wait()
	for ctx.Err() == nil {
		pause := time.Duration(500+rng.IntN(2500)) * time.Millisecond
		l := drawLives(rng, len(d.sides))
		time.Sleep(pause)
		n := d.sides[l.side]
		for i := range l.count {
			if i > 0 {
				time.Sleep(l.gap)
			}
			if l.held > 0 {
				n.lateBy.Store(int64(l.late))
			}
			time.Sleep(l.held)
			n.bootWorker(l.quiet)
			n.lateBy.Store(0)
		}
		time.Sleep(l.untilCut)
		began := time.Now()
		n.mu.Lock()
		w := n.worker
		n.mu.Unlock()
		w.Lock()
		running := len(w.Running)
		w.Unlock()
		d.t.Logf("%s is cut off for %s: its worker has restarted %d times, its lease lasts %s, %d runs", n.name, l.cut, l.count, w.LeaseLeft(), running)
		for killed := false; ctx.Err() == nil && time.Since(began) < l.cut; time.Sleep(cutRepeat) {
			n.peerProxy.Cut() // another fault of this proxy may have ended meanwhile
			if l.killDecider && !killed && time.Since(began) >= l.untilKill {
				killed = true
				kills.Add(1)
				go func() {
					defer kills.Done()
					d.decider().restart((*launch.Process).Kill, l.untilKill)
				}()
			}
		}
		n.peerProxy.Restore()
	}
}

// cutRepeat is the pause after which a cut is set again.
const cutRepeat = 50 * time.Millisecond

var becameDecider = regexp.MustCompile(`"event":820\b.*"epoch":(\d+)`)

// decider returns the entry that has become the decider last, or the first one if no output tells.
func (d *deployment) decider() *node {
	last, highest := d.entries[0], 0
	for _, e := range d.entries {
		e.mu.Lock()
		p := e.process
		e.mu.Unlock()
		for _, match := range becameDecider.FindAllStringSubmatch(p.Output(), -1) {
			if epoch, err := strconv.Atoi(match[1]); err == nil && epoch > highest {
				last, highest = e, epoch
			}
		}
	}
	return last
}

// serve returns the handler of an incarnation of the node's worker. While calls are held back, none is answered, and the incarnation
// that is there later executes it.
func (n *node) serve(w *platformtest.Worker) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		late := time.Duration(n.lateBy.Load())
		if late == 0 || !strings.HasPrefix(r.URL.Path, n.heldPath) {
			w.ServeHTTP(rw, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err == nil {
			call := httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(body))
			release := n.releaseStarts
			if r.URL.Path != platformtest.PathStart {
				release = nil
			}
			delay := time.After(late * time.Duration(1+n.heldCalls.Add(1)%3) / 2)
			go func() {
				select {
				case <-delay:
				case <-release:
				}
				n.executeLate(call, body)
			}()
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
}

// executeLate lets the present incarnation of the worker execute a call, and adds a line on it to the output of the node.
func (n *node) executeLate(call *http.Request, body []byte) {
	defer func() {
		if v := recover(); v != nil {
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(v)
			}
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	n.mu.Lock()
	w := n.worker
	n.earlier += fmt.Sprintf("late call at %s to the life of %d: %s %s\n", time.Now().UTC().Format("15:04:05.000"), w.StartedMs, call.URL.Path, body)
	n.mu.Unlock()
	n.deployment.lateCalls.Add(1)
	w.ServeHTTP(httptest.NewRecorder(), call.WithContext(ctx))
}
