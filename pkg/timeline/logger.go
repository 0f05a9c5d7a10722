package timeline

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// plainLogKind is the value of "event" on log lines that are not timeline events.
const plainLogKind Kind = "log"

// LoggerOptions configures NewLogger.
type LoggerOptions struct {
	Output io.Writer
	Level  logrus.Level
	Origin Origin
	// ConfigVersion returns the active configuration version; nil omits the field.
	ConfigVersion func() uint64
}

// NewLogger returns a logger that writes JSON lines. Each line holds instance,
// failureDomain, region, event and, once a configuration is active, configVersion.
func NewLogger(o LoggerOptions) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(o.Output)
	logger.SetLevel(o.Level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	logger.AddHook(&originHook{origin: o.Origin, configVersion: o.ConfigVersion})
	return logger
}

// originHook adds the fields common to all lines unless the caller has set them.
type originHook struct {
	origin        Origin
	configVersion func() uint64
}

// Levels implements logrus.Hook.
func (h *originHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h *originHook) Fire(entry *logrus.Entry) error {
	fields := logrus.Fields{
		"instance": h.origin.Instance, "failureDomain": h.origin.FailureDomain,
		"region": h.origin.Region, "event": plainLogKind,
	}
	if h.configVersion != nil {
		if version := h.configVersion(); version != 0 {
			fields["configVersion"] = version
		}
	}
	for name, value := range entry.Data {
		fields[name] = value
	}
	entry.Data = fields
	return nil
}
