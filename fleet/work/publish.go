package work

import (
	"context"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/logevent"
)

// publishEvery is the time between attempts to publish an address.
const publishEvery = 400 * time.Millisecond

// Publish writes the address of a process to a topic, until the store has it or ctx ends.
func Publish(ctx context.Context, store Store, topic string, a SideAddress, log logevent.Logger) {
	rec := Record{Key: a.Instance, Value: Encode(a)}
	for lost := false; ctx.Err() == nil; {
		_, err := store.Append(ctx, Append{Topic: topic, Records: []Record{rec}})
		if err == nil {
			if lost {
				log.Log(logevent.StoreBack, logevent.Str("topic", topic))
			}
			return
		}
		if !lost {
			log.Log(logevent.StoreLost, logevent.Str("topic", topic), logevent.Err(err))
			lost = true
		}
		clock.Sleep(ctx, publishEvery)
	}
}
