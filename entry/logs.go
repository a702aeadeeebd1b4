package entry

import (
	"context"
	"time"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/external/logclient"
	"github.com/verbenakeel/verbenakeel/settings"
)

// splitLog routes calls to the log service of the region or to the one that holds the configuration of all regions.
type splitLog struct{ region, config external.Log }

var _ external.Log = splitLog{}

// LogFromSettings returns the log that the settings name: stream config on platform.config_log, all others on platform.log.
func LogFromSettings(set settings.Entry) external.Log {
	region := logclient.New(set.LogURL)
	if set.ConfigLogURL == "" || set.ConfigLogURL == set.LogURL {
		return region
	}
	return splitLog{region: region, config: logclient.New(set.ConfigLogURL)}
}

func (l splitLog) logFor(stream string) external.Log {
	if stream == configStream {
		return l.config
	}
	return l.region
}

// Append implements external.Log.
func (l splitLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	return l.logFor(stream).Append(ctx, stream, data)
}

// Read implements external.Log.
func (l splitLog) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (external.Page, error) {
	return l.logFor(stream).Read(ctx, stream, from, max, wait)
}

// writerSuffix returns the suffix of the names of this entry's writers of a stream. Ids are unique only within a
// region, and entries of all regions write to config: of two writers of the same name readers would drop the records of
// one.
func (e *Entry) writerSuffix(kind core.Stream) string {
	if kind == core.ConfigStream {
		return "@" + e.set.Region
	}
	return ""
}
