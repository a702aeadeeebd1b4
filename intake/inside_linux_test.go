package intake

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/verbenakeel/verbenakeel/platform/platformtest"
)

// Guards against bodies that are whole and inside the limits but many, and that take a multiple of their size: a submission
// with a large text, one with many empty steps, and one with many dependencies, while the store does not answer.
func TestLargeSubmissionsLeaveProcessIntact(t *testing.T) {
	const step = `{"count":1,"cpu":100,"est_ms":100}`
	fill := func(n int, s string) string { return strings.Repeat(s, n/len(s)) }
	for _, k := range []struct{ name, body string }{
		{"text", fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, fill(3900, "s"), step+strings.Repeat(" ", 220_000))},
		{"steps", fmt.Sprintf(`{"steps":[%s{}]}`, fill(maxBody-100, "{},"))},
		{"dependencies", fmt.Sprintf(`{"steps":[%s,{"count":1,"cpu":1,"est_ms":1,"depends_on":[%s0]}]}`, step, fill(maxBody-200, "0,"))},
	} {
		t.Run(k.name, func(t *testing.T) {
			p := start(t, "entry")
			p.hangAppends.Store(true)
			play(p.public, crowdSize, func(conn net.Conn, i int) {
				if send(conn, head(i, announced(len(k.body)))) {
					send(conn, []byte(k.body))
				}
			})
			p.hangAppends.Store(false)
			p.check()
		})
	}
}

// fault returns the fault for a request to the store.
func (p *process) fault(path string) platformtest.Fault {
	if path == platformtest.PathAppend && p.hangAppends.Load() {
		return platformtest.Hang
	}
	return platformtest.None
}
