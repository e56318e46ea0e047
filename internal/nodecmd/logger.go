package nodecmd

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/redwingshelf/redwingshelf/internal/reqlog"
)

// newLogger returns a logger of JSON lines, and the sink that writes them to w without
// holding up the node. The caller closes the sink.
func newLogger(w io.Writer) (*zap.Logger, *reqlog.Sink) {
	sink := reqlog.NewSink(w)
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), sink, zap.InfoLevel)), sink
}
