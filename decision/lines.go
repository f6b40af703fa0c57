package decision

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// lines writes events as JSON lines. It is used by one goroutine at a time.
type lines struct {
	logger *logrus.Logger
	sink   *sink
	fields logrus.Fields // of the present line; kept to save an allocation
}

// newLines returns what writes to w. The place that logrus gives to a message
// holds the kind of the event.
func newLines(w io.Writer) *lines {
	s := &sink{
		w: w,
	}
	logger := logrus.New()
	logger.SetOutput(s)
	logger.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat:   time.RFC3339Nano,
		DisableHTMLEscape: true,
		FieldMap: logrus.FieldMap{
			logrus.FieldKeyMsg: "kind",
		},
	})
	return &lines{
		logger: logger,
		sink:   s,
		fields: make(logrus.Fields),
	}
}

// write writes the line of e and returns the error of the writer.
func (l *lines) write(e *Event) error {
	l.sink.err = nil
	l.fill(e)
	entry := logrus.Entry{
		Logger: l.logger,
		Data:   l.fields,
		Time:   e.At,
	}
	entry.Log(levelOf(e), string(e.Kind))
	return l.sink.err
}

// fill sets the fields to those of e that aren't empty, under the names of their
// JSON tags.
func (l *lines) fill(e *Event) {
	clear(l.fields)
	l.text("request", e.Request)
	l.text("box", e.Box)
	l.text("service", e.Service)
	l.text("route", e.Route)
	l.text("upstream", e.Upstream)
	l.text("build", e.Build)
	l.text("resumes", e.Resumes)
	l.text("outcome", string(e.Outcome))
	l.text("reason", e.Reason)
	l.number("status", int64(e.Status))
	l.number("version", e.Version)
	l.number("revision", e.Revision)
	l.number("age_ms", e.AgeMs)
	l.number("took_ms", e.TookMs)
	l.number("prompt", int64(e.Prompt))
	l.number("in_flight", int64(e.InFlight))
	l.number("memory", int64(e.Memory))
	l.number("unread", int64(e.Unread))
	l.number("sent_ms", e.SentMs)
	l.number("head_ms", e.HeadMs)
	l.number("first_ms", e.FirstMs)
	l.number("pause_ms", e.PauseMs)
	l.text("framing", e.Framing)
	l.text("last_event", e.LastEvent)
	l.number("send", int64(e.Send))
	l.number("conn", int64(e.Conn))
	l.number("discarded", int64(e.Discarded))
	l.number("rest", int64(e.Rest))
	l.number("tokens", int64(e.Tokens))
	l.number("sharers", int64(e.Sharers))
	l.text("copy_from", e.CopyFrom)
	l.number("tries", int64(e.Tries))
	l.number("for_ms", e.ForMs)
	l.figure("limit", e.Limit)
	l.figure("speed", e.Speed)
	l.number("speed_age_ms", e.SpeedAgeMs)
	l.text("speed_source", e.SpeedSource)
	l.text("signal", string(e.Signal))
	l.text("parts", e.Parts)
	l.text("digest", e.Digest)
	l.text("region", e.Region)
	l.text("channel", e.Channel)
	l.text("organisation", e.Organisation)
	l.number("waited_ms", e.WaitedMs)
	l.number("ahead", int64(e.Ahead))
	l.number("expected_ms", e.ExpectedMs)
	l.number("urgency", int64(e.Urgency))
	l.text("flow", e.Flow)
	l.figure("loss_here", e.LossHere)
	l.figure("loss_there", e.LossThere)
	l.figure("link_cost", e.LinkCost)
	l.figure("callers_cost", e.CallersCost)
	l.figure("away_share", e.AwayShare)
	l.number("link_bytes", int64(e.LinkBytes))
	l.text("detail", e.Detail)
	if len(e.Counts) > 0 {
		l.fields["counts"] = e.Counts
	}
}

func (l *lines) text(name, s string) {
	if s != "" {
		l.fields[name] = s
	}
}

func (l *lines) figure(name string, f float64) {
	if f != 0 {
		l.fields[name] = f
	}
}

func (l *lines) number(name string, n int64) {
	if n != 0 {
		l.fields[name] = n
	}
}

// levelOf returns warning for what is lost or went wrong, else info.
func levelOf(e *Event) logrus.Level {
	switch e.Kind {
	case Lost, Dropped:
		return logrus.WarnLevel
	}
	if e.Outcome.Failed() {
		return logrus.WarnLevel
	}
	return logrus.InfoLevel
}

// sink keeps the error of the last write for the Log. It returns none, as logrus
// would print it to standard error, line by line.
type sink struct {
	w   io.Writer
	err error
}

// Write writes p.
func (s *sink) Write(p []byte) (int, error) {
	_, s.err = s.w.Write(p)
	return len(p), nil
}
