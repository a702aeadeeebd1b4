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

// usage is the resource usage of one process over a measurement window.
type usage struct {
	// cpu is the mean CPU usage in percent of one core.
	cpu float64
	// rss is the resident set size in MB at the end of the window.
	rss float64
}

// counter reads a monotonically increasing count, such as bytes on the wire.
type counter func() (float64, error)

// wireBytes counts the bytes that the proxies forwarded in both directions: HTTP headers and bodies without TCP overhead.
func wireBytes(proxies ...*faultproxy.Proxy) counter {
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
		return 0, fmt.Errorf("read CPU time of %s: %w", n.Name, err)
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

// measureWindow waits for the length of the window and returns the resource usage of each process over it and the rate of
// each counter per second.
func measureWindow(ctx context.Context, window time.Duration, nodes []*deploy.Node, counters ...counter) ([]usage, []float64, error) {
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

// mean returns the arithmetic mean of the usages of several processes.
func mean(list []usage) usage {
	var m usage
	for _, u := range list {
		m.cpu += u.cpu / float64(len(list))
		m.rss += u.rss / float64(len(list))
	}
	return m
}

// ownCPU returns the CPU time of this process, garbage collection included. Unlike elapsed time it excludes other work on
// the machine.
func ownCPU() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &ts); err != nil {
		panic(err) // every Linux kernel has this clock
	}
	return time.Duration(ts.Nano())
}

// cpuMicros returns the CPU time of f in microseconds.
func cpuMicros(f func()) float64 {
	begin := ownCPU()
	f()
	return float64(ownCPU()-begin) / float64(time.Microsecond)
}
