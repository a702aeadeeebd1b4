package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"
)

func init() { cases["cancel"] = playCancel }

const (
	// cancelBound and stopBound are cancel_ms and stop_ms, bounds of the deployment.
	cancelBound = 3000 * time.Millisecond
	stopBound   = 200 * time.Millisecond
	// lateWrite is how late the store carries out the write that gets no answer.
	lateWrite = 5 * time.Second
	// leaveAfter is when the client leaves: within half of the objective of 1,000 ms.
	leaveAfter = 400 * time.Millisecond
)

// playCancel has a client that leaves before its submission is answered, because one write to the store gets no answer, and
// that cancels the job at once.
func playCancel(w *world, trouble bool) (string, error) {
	fronts, workers, err := w.small(2, 2)
	if err != nil {
		return "", err
	}
	const id = "00000000000000b1"
	if trouble {
		w.loseOneSubmission()
	}
	status, _ := w.callUntil(fronts[0], http.MethodPost, "/q/"+id, ordinary(6000), 3*time.Second, leaveAfter)
	cancelled, _ := w.call(fronts[0], http.MethodDelete, "/q/"+id, "", 3*time.Second)
	at := time.Now()
	if cancelled != http.StatusOK && cancelled != http.StatusGone {
		return "", fmt.Errorf("the cancel was not acknowledged but answered with %d", cancelled)
	}
	w.rec("check: the submission was answered with %d (0: the client left), its cancelling acknowledged with %d", status, cancelled)
	broken := ""
	for time.Since(at) < 9*time.Second {
		time.Sleep(500 * time.Millisecond)
		running := 0
		for _, k := range workers {
			running += k.running(id)
		}
		w.rec("check: %d ms after the acknowledgement %d tasks of the job run", time.Since(at).Milliseconds(), running)
		if running > 0 && time.Since(at) > cancelBound+stopBound && broken == "" {
			broken = fmt.Sprintf("UNASKED: a task runs %d ms after the cancelling of its job was acknowledged with %d", time.Since(at).Milliseconds(), cancelled)
		}
	}
	w.call(fronts[0], http.MethodGet, "/q/"+id, "", 3*time.Second)
	return broken, nil
}

// loseOneSubmission makes the store carry out the next submission late and without an answer.
func (w *world) loseOneSubmission() {
	var lost atomic.Bool
	w.setIntercept(func(rw http.ResponseWriter, r *http.Request, body []byte, serve http.Handler) bool {
		if r.URL.Path != "/-/log-append" || r.URL.Query().Get("topic") != topicJobs || !lost.CompareAndSwap(false, true) {
			return false
		}
		w.rec("trouble: the store gives no answer to a write to %s and carries it out %v later", topicJobs, lateWrite)
		time.AfterFunc(lateWrite, func() {
			again := httptest.NewRequest(r.Method, r.URL.String(), io.NopCloser(bytes.NewReader(body)))
			answer := httptest.NewRecorder()
			serve.ServeHTTP(answer, again)
			w.rec("store: the late write is carried out: %d", answer.Code)
		})
		select {
		case <-r.Context().Done():
		case <-time.After(lateWrite):
		}
		panic(http.ErrAbortHandler)
	})
}
