package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/tlsconf"
)

// loadKeys loads the TLS keys named in the settings and configures the HTTP client of control messages with them.
func (e *Entry) loadKeys() error {
	if !e.set.TLS.On() {
		return nil
	}
	keys, err := tlsconf.Load(e.set.TLS, func(err error) {
		if err != nil {
			e.log.Log(logevent.KeysUnreadable, logevent.Err(err))
			return
		}
		e.log.Log(logevent.KeysReloaded)
	})
	if err != nil {
		return fmt.Errorf("entry %s: %w", e.set.ID, err)
	}
	e.keys, e.links.keys = keys, keys
	e.rpc.Transport = control.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, TLSClientConfig: keys.Client(tlsconf.Entry),
	})
	return nil
}

// controlURL returns the base URL of a control listener.
func (e *Entry) controlURL(address string) string {
	if e.keys != nil {
		return "https://" + address
	}
	return "http://" + address
}
