package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"

	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/faultproxy"
)

// usage is what one process used over a window.
type usage struct {
	// cpu is the share of one core, in percent.
	cpu float64
	// rss is the resident memory at the end of the window in MB.
	rss float64
}

// counter is a count that grows, such as bytes on the wire.
type counter func() (float64, error)

// wire counts the bytes of both directions that passed the proxies: HTTP headers and bodies, without those of TCP.
func wire(proxies ...*faultproxy.Proxy) counter {
	return func() (float64, error) {
		sum := 0.0
		for _, p := range proxies {
			sum += float64(p.Stats().Bytes)
		}
		return sum, nil
	}
}

func cpuSeconds(n *deploy.Node) (float64, error) {
	p, err := procfs.NewProc(n.Process().PID())
	if err != nil {
		return 0, fmt.Errorf("read process of %s: %w", n.Name, err)
	}
	stat, err := p.Stat()
	if err != nil {
		return 0, fmt.Errorf("read processor time of %s: %w", n.Name, err)
	}
	return stat.CPUTime(), nil
}

func rssMB(n *deploy.Node) (float64, error) {
	p, err := procfs.NewProc(n.Process().PID())
	if err != nil {
		return 0, fmt.Errorf("read process of %s: %w", n.Name, err)
	}
	status, err := p.NewStatus()
	if err != nil {
		return 0, fmt.Errorf("read memory of %s: %w", n.Name, err)
	}
	return float64(status.VmRSS) / 1e6, nil
}

// during lets the window pass and returns what the processes used and the rate of each counter per second.
func during(ctx context.Context, window time.Duration, nodes []*deploy.Node, counters ...counter) ([]usage, []float64, error) {
	used, rates := make([]usage, len(nodes)), make([]float64, len(counters))
	begin := time.Now()
	collect := func(sign float64) error {
		for i, n := range nodes {
			s, err := cpuSeconds(n)
			if err != nil {
				return err
			}
			used[i].cpu += sign * s
		}
		for i, c := range counters {
			v, err := c()
			if err != nil {
				return err
			}
			rates[i] += sign * v
		}
		return nil
	}
	if err := collect(-1); err != nil {
		return nil, nil, err
	}
	select {
	case <-time.After(window):
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
	if err := collect(1); err != nil {
		return nil, nil, err
	}
	passed := time.Since(begin).Seconds()
	for i, n := range nodes {
		used[i].cpu *= 100 / passed
		var err error
		if used[i].rss, err = rssMB(n); err != nil {
			return nil, nil, err
		}
	}
	for i := range rates {
		rates[i] /= passed
	}
	return used, rates, nil
}

// mean returns the mean usage of several processes.
func mean(list []usage) usage {
	var m usage
	for _, u := range list {
		m.cpu += u.cpu / float64(len(list))
		m.rss += u.rss / float64(len(list))
	}
	return m
}

// ownCPU returns the processor time of this process, that of garbage collection included, so that other work on the
// machine does not count.
func ownCPU() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &ts); err != nil {
		panic(err) // the clock is part of every Linux kernel
	}
	return time.Duration(ts.Nano())
}

// micros returns the processor time of f in microseconds.
func micros(f func()) float64 {
	begin := ownCPU()
	f()
	return float64(ownCPU()-begin) / float64(time.Microsecond)
}
