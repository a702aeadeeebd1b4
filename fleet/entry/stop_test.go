package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stop that cuts off a submission whose body is still arriving from a slow client: the process ends after the
// response only.
func TestStopWaitsForSubmissionThatArrives(t *testing.T) {
	s := newSite(t)
	e, stop := s.entry("entry-1")
	conn, err := net.Dial("tcp", e.public.Address())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n%s", jobPath, len(jobBody), jobBody[:10])
	assert.NilError(t, err)
	s.until("a part of the request", func() bool { return e.public.Pending() == 1 })
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	select {
	case <-stopped:
		t.Fatal("the entry ended before the submission was complete")
	case <-time.After(notReadyPeriod + 500*time.Millisecond):
	}
	_, err = io.WriteString(conn, jobBody[10:])
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	<-stopped
}
