// Command child is the process that the launcher's tests start. It answers the given number of requests for /health with
// HTTP 503 and later ones with 200, and exits with status 7 on SIGTERM.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync/atomic"
	"syscall"
)

func main() {
	failures, err := strconv.Atoi(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "argument must be a number of failures")
		os.Exit(2)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(3)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	var requests atomic.Int64
	http.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) <= int64(failures) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	go func() { _ = http.Serve(listener, nil) }()
	fmt.Println("listening name=http address=" + listener.Addr().String())
	fmt.Println("ready")
	fmt.Fprintln(os.Stderr, "a line on stderr")
	<-stop
	os.Exit(7)
}
