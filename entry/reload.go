package entry

import (
	"context"
	"os"
	"reflect"
	"time"

	"lycheecrank.example/event"
	"lycheecrank.example/platform"
)

// reloadInterval is how often the settings are read again, since they may change
// without a signal.
const reloadInterval = 2 * time.Second

// runReload takes over settings that change: seeds, the grace of a stop and the
// retry budget. Addresses hold until the next start.
func (i *Instance) runReload(ctx context.Context) error {
	timer := time.NewTicker(reloadInterval)
	defer timer.Stop()
	last, err := i.Reload()
	if err != nil {
		last = i.Settings
	}
	for {
		var signal os.Signal
		select {
		case <-timer.C:
		case signal = <-i.Changed:
		case <-ctx.Done():
			return nil
		}
		next, err := i.Reload()
		switch {
		case err != nil:
			if signal != nil {
				i.Logger.Write(event.SettingsRefused, err)
			}
		case !reflect.DeepEqual(next, last):
			last = next
			i.adoptSettings(next)
		}
	}
}

func (i *Instance) adoptSettings(s platform.Settings) {
	i.seeds.Store(&s.Seeds)
	i.grace.Store(int64(s.DrainGrace))
	i.delivery.Budget.SetLimits(budgetOf(s))
	i.Logger.Write(event.SettingsApplied, len(s.Seeds), s.DrainGrace.Milliseconds(), s.RetryRatio, s.RetrySlack)
}
