package entry

import (
	"context"
	"time"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/external/logclient"
	"github.com/verbenakeel/verbenakeel/settings"
)

// logs is the log service of the region together with the one that holds the configuration of all regions.
type logs struct{ region, config external.Log }

var _ external.Log = logs{}

// LogOf returns the log that the settings name: stream config on platform.config_log, all others on platform.log.
func LogOf(set settings.Entry) external.Log {
	region := logclient.New(set.LogURL)
	if set.ConfigLogURL == "" || set.ConfigLogURL == set.LogURL {
		return region
	}
	return logs{region: region, config: logclient.New(set.ConfigLogURL)}
}

func (l logs) of(stream string) external.Log {
	if stream == configStream {
		return l.config
	}
	return l.region
}

// Append implements external.Log.
func (l logs) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	return l.of(stream).Append(ctx, stream, data)
}

// Read implements external.Log.
func (l logs) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (external.Page, error) {
	return l.of(stream).Read(ctx, stream, from, max, wait)
}

// writerSuffix is what follows the entry's id in the names of its writers of a stream. Ids are unique within a region, and
// entries of all regions write to config: readers would drop the records of one of two writers of the same name.
func (e *Entry) writerSuffix(kind core.Stream) string {
	if kind == core.ConfigStream {
		return "@" + e.set.Region
	}
	return ""
}
