package filter

import (
	"context"
	"crypto/subtle"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// ErrKeyWithdrawn is the cancellation cause of the context of a request whose key
// was withdrawn while it waited or ran.
var ErrKeyWithdrawn = merry.Sentinel("key withdrawn")

// ErrDraining is the cancellation cause of the context of a request that is still
// waiting or running when the grace period of its node's shutdown ends.
var ErrDraining = merry.Sentinel("node is leaving")

// ErrTargetWithdrawn is the cancellation cause of the context of a request whose
// model or adapter was withdrawn while it waited for a slot. ErrRouteWithdrawn is
// the cause if its route was.
var (
	ErrTargetWithdrawn = merry.Sentinel("model or adapter withdrawn")
	ErrRouteWithdrawn  = merry.Sentinel("route withdrawn")
)

// Authenticate looks up the workspace of a request's key and cancels the request
// when the key is withdrawn.
type Authenticate struct {
	View View
}

// Filter implements the Filter interface.
func (f Authenticate) Filter(ctx context.Context, request *Request) Verdict {
	if request.KeyDigest == "" {
		if request.isPublic() {
			return Pass{}
		}
		return refuse(MissingKey, "send the workspace's key as \"Authorization: Bearer <key>\"")
	}
	if !f.View.Current() {
		return refuse(NotCurrent, "this node cannot show that its keys are up to date; ask another one")
	}
	grant, ok := findGrant(request.Configuration, request.KeyDigest)
	if !ok {
		return refuse(UnknownKey, "the key is not granted or has been withdrawn")
	}
	request.Workspace = grant.Workspace
	request.GrantID = grant.ID
	return f.cancelOnWithdrawal(ctx, request)
}

// findGrant returns the grant with a key digest. The time of the map lookup could
// only reveal bytes of a 256-bit digest, which a caller cannot choose byte by
// byte. The constant-time comparison makes this independent of the
// implementation of maps.
func findGrant(configuration *releaser.Configuration, digest string) (releaser.Grant, bool) {
	grant, ok := configuration.Grants[digest]
	if !ok || subtle.ConstantTimeCompare([]byte(grant.Digest), []byte(digest)) != 1 {
		return releaser.Grant{}, false
	}
	return grant, true
}

// cancelOnWithdrawal passes the request with a context that is cancelled when its
// grant is withdrawn.
func (f Authenticate) cancelOnWithdrawal(ctx context.Context, request *Request) Verdict {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		for {
			changed := f.View.Changed()
			grant, ok := findGrant(f.View.Configuration(), request.KeyDigest)
			if !ok || grant.ID != request.GrantID {
				cancel(ErrKeyWithdrawn)
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return Pass{Context: ctx, CleanUp: func(Outcome) { cancel(context.Canceled) }}
}
