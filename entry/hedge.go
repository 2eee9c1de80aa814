package entry

import (
	"lycheecrank.example/counter"
	"lycheecrank.example/hedge"
)

// startHedging turns on second sends of late requests if the share allows any.
func (i *Instance) startHedging() error {
	if err := hedge.CheckShare(i.HedgeShare); err != nil {
		return err
	}
	if i.HedgeShare == 0 {
		return nil
	}
	i.delivery.Hedges = hedge.NewTable(i.HedgeShare)
	i.delivery.HedgeCounts = counter.NewSet("hedges")
	return nil
}
