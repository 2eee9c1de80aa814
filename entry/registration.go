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
	// discoverInterval is how often an instance reads the entries of other instances.
	discoverInterval = 15 * time.Second
	// registrationRetryDelay is the pause after a failed read or write of entries. It
	// also serves as the timeout of the removal of the entry at shutdown.
	registrationRetryDelay = time.Second
	// registrationTimeout bounds a read or write of entries.
	registrationTimeout = 1500 * time.Millisecond
)

// runRegistration writes the entry of this instance to the store once and reads the
// entries of other instances regularly.
func (i *Instance) runRegistration(ctx context.Context) error {
	isWritten := false
	for {
		wait := discoverInterval
		if !isWritten {
			isWritten = i.register(ctx) == nil
		}
		if err := i.discover(ctx); err != nil || !isWritten {
			wait = registrationRetryDelay
		}
		if !pause(ctx, wait) {
			return nil
		}
	}
}

func (i *Instance) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	data, err := codec.Marshal(i.view().Self())
	if err != nil {
		return err
	}
	return i.store.Put(ctx, platform.InstanceStream, i.Settings.Name, data)
}

// unregister removes the entry of this instance at shutdown.
func (i *Instance) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registrationRetryDelay)
	defer cancel()
	if err := i.store.Put(ctx, platform.InstanceStream, i.Settings.Name, nil); err != nil {
		i.Logger.Write(event.LogUnavailable, platform.InstanceStream, err)
	}
}

func (i *Instance) discover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	records, _, err := i.store.Newest(ctx, platform.InstanceStream)
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
