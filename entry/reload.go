package entry

import (
	"context"
	"os"
	"reflect"
	"time"

	"lycheecrank.example/event"
	"lycheecrank.example/platform"
)

// reloadInterval is how often the settings are reloaded, because they may change
// without a signal.
const reloadInterval = 2 * time.Second

// runReload applies changed settings: the seeds, the drain grace period and the retry
// budget. Changed addresses need a restart.
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
		case signal = <-i.ReloadSignal:
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
			i.applySettings(next)
		}
	}
}

func (i *Instance) applySettings(settings platform.Settings) {
	i.seeds.Store(&settings.Seeds)
	i.grace.Store(int64(settings.DrainGrace))
	i.delivery.Budget.SetLimits(retryBudget(settings))
	i.Logger.Write(event.SettingsApplied, len(settings.Seeds), settings.DrainGrace.Milliseconds(), settings.RetryRatio, settings.RetrySlack)
}
