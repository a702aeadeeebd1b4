package entry

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/twitchtv/twirp"

	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/tlsconf"
)

// instancesKey is the context key of the instances that a caller's certificate names.
type instancesKey struct{}

// withInstances adds the instances that the caller's certificate names to the context.
func withInstances(next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if named := httpserver.PeerInstances(c); len(named) > 0 {
			ctx = context.WithValue(ctx, instancesKey{}, named)
		}
		next(ctx, c)
	}
}

// checkInstance rejects a message sent for an instance that the caller's certificate does not name.
func (e *Entry) checkInstance(ctx context.Context, id string) error {
	named, _ := ctx.Value(instancesKey{}).([]string)
	err := tlsconf.CheckInstance(named, id)
	if err == nil {
		return nil
	}
	e.log.Log(logevent.InstanceRefused, logevent.Str("instance", id), logevent.Err(err))
	return twirp.NewError(twirp.PermissionDenied, err.Error())
}
