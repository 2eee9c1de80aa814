package entry

import (
	"context"

	"lycheecrank.example/event"
	"lycheecrank.example/platform"
	"lycheecrank.example/route"
)

// maxLoggedFindings bounds the log lines about one configuration, so that a generated
// configuration with the same fault in each route doesn't fill the logs of all instances.
const maxLoggedFindings = 20

// configurationLog writes the findings on adopted configurations. It checks them in the
// background: the check of 200 routes takes milliseconds, and a configuration is adopted
// under the lock of the feed table.
type configurationLog struct {
	logger *event.Logger
	// unchecked holds at most one configuration, the newest one.
	unchecked chan adoptedConfiguration
}

type adoptedConfiguration struct {
	version int64
	data    []byte
}

func newConfigurationLog(logger *event.Logger) *configurationLog {
	return &configurationLog{logger: logger, unchecked: make(chan adoptedConfiguration, 1)}
}

// add has a configuration checked. One that has not been checked yet is skipped.
func (l *configurationLog) add(version int64, data []byte) {
	select {
	case <-l.unchecked:
	default:
	}
	select {
	case l.unchecked <- adoptedConfiguration{version, data}:
	default: // another configuration was added meanwhile
	}
}

func (l *configurationLog) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-l.unchecked:
			l.write(c.version, platform.CheckConfiguration(c.data))
		}
	}
}

func (l *configurationLog) write(version int64, findings route.Findings) {
	for _, f := range findings.MostSevere(maxLoggedFindings) {
		kind := event.ConfigurationWarning
		if f.Severity == route.Error {
			kind = event.ConfigurationError
		}
		l.logger.Write(kind, version, string(f.Path), f.Line, f.Value, f.Problem, f.Allowed, len(findings))
	}
}
