package side

import (
	"fmt"
	"net/http"
	"time"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/tlsconf"
)

// loadKeys loads the TLS files of the settings and configures the client for entries with them.
func (s *Side) loadKeys() error {
	if !s.cfg.TLS.On() {
		return nil
	}
	keys, err := tlsconf.Load(s.cfg.TLS, func(err error) {
		if err != nil {
			s.log.Log(logevent.KeysUnreadable, logevent.Err(err))
			return
		}
		s.log.Log(logevent.KeysReloaded)
	})
	if err != nil {
		return fmt.Errorf("side process %s: %w", s.cfg.ID, err)
	}
	s.keys = keys
	s.rpc.Transport = control.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, TLSClientConfig: keys.Client(tlsconf.Entry),
	})
	return nil
}

// controlURL returns the base URL of an entry's control listener.
func (s *Side) controlURL(address string) string {
	if s.keys != nil {
		return "https://" + address
	}
	return "http://" + address
}
