package entry

import (
	"github.com/verbenakeel/verbenakeel/fleet/dispatch"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/settings"
)

// dispatchOptions returns the options of the decider that the settings select.
func dispatchOptions(set *settings.Fleet) dispatch.Options {
	o := dispatch.Options{
		PublishBacklog:  set.Admission == settings.AdmissionBacklog,
		LoadForecast:    set.LoadForecast != settings.ForecastOff,
		PlaceByForecast: set.LoadForecast == settings.ForecastHarmonic,
		MaxRecordBytes:  set.RecordBytes,
		MaxAppendBytes:  set.AppendBytes,
	}
	if set.Order == settings.OrderScarcity {
		o.Order = dispatch.OrderScarcity
	}
	if set.Durations == settings.DurationsLearned {
		o.Durations = dispatch.DurationsLearned
	}
	return o
}

// logOrder logs the order of jobs and what was learned of durations.
func (d *decider) logOrder() {
	o := d.state.SummarizeOrder()
	d.entry.log.Log(logevent.OrderState, logevent.Int("deferred", o.Deferred), logevent.Int("too_late", o.TooLate), logevent.Int("yielding", o.Yielding),
		logevent.Int("cores_reserved", o.ReservedCores), logevent.Int("cores_best_effort", o.BestEffortCores), logevent.Int("kinds", o.Kinds),
		logevent.Int("ratio_percent", o.RatioPercent), logevent.Int("spread_percent", o.SpreadPercent))
}
