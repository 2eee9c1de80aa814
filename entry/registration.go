package entry

import (
	"context"
	"time"

	"lycheecrank.example/codec"
	"lycheecrank.example/event"
	"lycheecrank.example/membership"
	"lycheecrank.example/platform"
)

const (
	// registerEvery is how often instances look for others in the store.
	registerEvery = 15 * time.Second
	// registerRetry is the pause after a failed look.
	registerRetry = time.Second
	registerLimit = 1500 * time.Millisecond
)

// runRegistration writes the entry of this instance to the store once and looks
// for those of others.
func (i *Instance) runRegistration(ctx context.Context) error {
	isWritten := false
	for {
		wait := registerEvery
		if !isWritten {
			isWritten = i.register(ctx) == nil
		}
		if err := i.discover(ctx); err != nil || !isWritten {
			wait = registerRetry
		}
		if !pause(ctx, wait) {
			return nil
		}
	}
}

func (i *Instance) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerLimit)
	defer cancel()
	data, err := codec.Marshal(i.view().Self())
	if err != nil {
		return err
	}
	return i.store.Put(ctx, platform.Instances, i.Settings.Name, data)
}

// unregister removes the entry of an instance that leaves.
func (i *Instance) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerRetry)
	defer cancel()
	if err := i.store.Put(ctx, platform.Instances, i.Settings.Name, nil); err != nil {
		i.Logger.Write(event.LogUnavailable, platform.Instances, err)
	}
}

func (i *Instance) discover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerLimit)
	defer cancel()
	records, _, err := i.store.Newest(ctx, platform.Instances)
	if err != nil {
		return err
	}
	var known []membership.Instance
	for _, r := range records {
		var m membership.Instance
		if err := codec.Unmarshal(r.Value, &m); err != nil {
			continue
		}
		known = append(known, m)
	}
	i.members.Commands().AddKnown(known, time.Now())
	return nil
}
