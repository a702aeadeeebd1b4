package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/settings"
)

// watchSettings reloads the settings on SIGHUP and logs which have changed. An invalid file is logged and ignored.
func watchSettings(ctx context.Context, path string, isEntry bool, set settings.Fleet, log logevent.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			changed, err := settings.LoadFleet(path, isEntry)
			if err != nil {
				log.Log(logevent.SettingsInvalid, logevent.Err(err))
				continue
			}
			log.Log(logevent.SettingsReloaded, logevent.Str("changes", describeChanges(set, changed)))
		}
	}
}
