package nodecmd

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/redwingshelf/redwingshelf/internal/reqlog"
)

// newLogger returns a logger that writes JSON lines, and the sink that passes them to w
// without blocking the node. The caller closes the sink.
func newLogger(w io.Writer) (*zap.Logger, *reqlog.Sink) {
	sink := reqlog.NewSink(w)
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), sink, zap.InfoLevel)), sink
}
