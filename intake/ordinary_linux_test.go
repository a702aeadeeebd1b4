package intake

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/platform"
	"github.com/verbenakeel/verbenakeel/platform/platformtest"
)

// callTimeout bounds one ordinary request.
const callTimeout = 5 * time.Second

// ordinary sends one ordinary request to each listener of the process.
func (p *process) ordinary() error {
	if p.public != "" {
		return errors.Join(
			request(http.MethodGet, p.ready, platform.ReadyPath, nil),
			request(http.MethodPost, p.public, prefix+"00000000000000aa", []byte(`{"steps":[{"count":1,"cpu":100,"est_ms":100}]}`)),
			p.exchange(link.PeerCall{}, new(link.PeerReply)))
	}
	path, body := platformtest.Heartbeat("i-1", service, p.worker, "z", 1, time.Now().UnixMilli(), 1000, false)
	return errors.Join(
		request(http.MethodPost, p.control, path, body),
		p.exchange(link.Hello{Epoch: 1, Entry: "e", Instance: "n"}, new(link.Report)))
}

func request(method, address, path string, body []byte) error {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Host = host
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if answer, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %d %s", method, path, resp.StatusCode, answer)
	}
	return nil
}

// exchange sends a message to the peer listener and reads one.
func (p *process) exchange(message, reply any) error {
	conn, err := net.DialTimeout("tcp", p.peer, callTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := link.WriteMessage(conn, message); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	return link.ReadMessage(conn, reply)
}
