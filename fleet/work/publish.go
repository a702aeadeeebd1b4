package work

import (
	"context"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/logevent"
)

// publishRetry is the pause after a failed attempt to publish an address.
const publishRetry = 400 * time.Millisecond

// Publish appends the address of a process to a topic. It retries until the store has accepted it or ctx ends.
func Publish(ctx context.Context, store Store, topic string, a ProcessAddress, log logevent.Logger) {
	rec := Record{Key: a.Instance, Value: Encode(a)}
	for failing := false; ctx.Err() == nil; {
		_, err := store.Append(ctx, Append{Topic: topic, Records: []Record{rec}})
		if err == nil {
			if failing {
				log.Log(logevent.StoreRecovered, logevent.Str("topic", topic))
			}
			return
		}
		if !failing {
			log.Log(logevent.StoreUnavailable, logevent.Str("topic", topic), logevent.Err(err))
			failing = true
		}
		clock.Sleep(ctx, publishRetry)
	}
}
