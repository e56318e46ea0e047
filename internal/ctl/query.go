package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
)

const (
	defaultQueryTimeout = 5 * time.Second
	// answerGrace is how long the command waits for an answer after the deadline.
	answerGrace = 2 * time.Second
)

// queryOptions are the flags of query.
type queryOptions struct {
	address   string
	customer  string
	service   string
	class     string
	requestID string
	timeout   time.Duration
	limit     int
	key       string
	submit    bool
}

func newQueryCommand(format *outputFormat) *cobra.Command {
	options := &queryOptions{}
	command := &cobra.Command{
		Use:   "query --address IP:PORT --customer NAME --service NAME [BODY | -]",
		Short: "Send a query to a host and print the answer with its coverage",
		Long: `Query posts a JSON body, or standard input for "-", to the callers' address of a
host and prints the hits, the snapshot and the share of the key space that the
answer covers. With --submit it sends a request that must run at most once: it
takes a ticket first, and never sends the request again. It exits with 1 if the
answer is an error or doesn't cover everything.`,
		Example: `  redwingctl query --address 127.0.1.1:7080 --customer adom --service dispatch '{"text": "pane"}'
  redwingctl query --address 127.0.1.1:7080 --customer adom --service dispatch \
      --submit --key roof-7 '{"report": "hail"}'`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := queryBody(cmd.InOrStdin(), args)
			if err != nil {
				return err
			}
			return runQuery(cmd.Context(), cmd.OutOrStdout(), format, options, body)
		},
	}
	options.addFlags(command)
	return command
}

func (o *queryOptions) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&o.address, "address", "", "callers' address of a host")
	flags.StringVar(&o.customer, "customer", "", "customer of the deployment")
	flags.StringVar(&o.service, "service", "", "service to query")
	flags.StringVar(&o.class, "class", "", "class of the request")
	flags.StringVar(&o.requestID, "request-id", "", "request ID; the host makes one if it is empty")
	flags.DurationVar(&o.timeout, "timeout", defaultQueryTimeout, "deadline of the request")
	flags.IntVar(&o.limit, "limit", 0, "greatest number of hits; 0 takes the host's default")
	flags.StringVar(&o.key, "key", "", "key that selects the shard of a request sent with --submit")
	flags.BoolVar(&o.submit, "submit", false, "the request must run at most once")
	for _, name := range []string{"address", "customer", "service"} {
		_ = command.MarkFlagRequired(name)
	}
}

// queryBody returns the body given as the argument or on standard input.
func queryBody(stdin io.Reader, args []string) ([]byte, error) {
	if len(args) == 0 {
		return []byte("{}"), nil
	}
	if args[0] != "-" {
		return []byte(args[0]), nil
	}
	body, err := io.ReadAll(stdin)
	if err != nil {
		return nil, fmt.Errorf("read standard input: %w", err)
	}
	return body, nil
}

func runQuery(ctx context.Context, w io.Writer, format *outputFormat, options *queryOptions, body []byte) error {
	if options.timeout < time.Millisecond {
		return errors.New("--timeout must be at least 1ms")
	}
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithTimeout(ctx, options.timeout+answerGrace)
	defer cancel()
	answer, err := sendQuery(ctx, options, body)
	if err != nil {
		return err
	}
	if err := format.write(w, answer); err != nil {
		return err
	}
	if !answer.complete() {
		return errFinding
	}
	return nil
}
