package entry

import (
	"context"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
)

// Quarantine is the filter that refuses content that crashes targets, and marks
// requests whose content must first complete on one target.
func Quarantine(screen Screen) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, r *Request) (*Answer, error) {
			method := "search"
			if !r.Idempotent {
				method = "request"
			}
			r.Fingerprint = quarantine.FingerprintOf(r.Customer, r.Service, method, r.Body)
			if err := admit(ctx, screen, r); err != nil {
				return nil, kind.WithRun(err, kind.RunNo)
			}
			answer, err := next(ctx, r)
			if err == nil && (answer.Result == nil || answer.Result.Fraction.Full()) {
				screen.Completed(r.Fingerprint)
			}
			return answer, err
		}
	}
}

func admit(ctx context.Context, screen Screen, r *Request) error {
	switch screen.Admit(r.Fingerprint) {
	case quarantine.Refuse:
		return kind.Errorf(kind.Quarantined, "targets died while they ran this content")
	case quarantine.Stage:
		r.Stage = true
	case quarantine.Trial:
		permit, err := screen.RequestPermit(ctx, r.Fingerprint)
		if err != nil {
			return err
		}
		r.Permit = permit
	}
	return nil
}
