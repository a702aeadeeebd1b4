package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/errdefs"
)

// token is the bearer token of a request.
type token string

func bearerToken(c *app.RequestContext) token {
	v, ok := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	if !ok {
		return ""
	}
	return token(v)
}

// hashIn reports whether the SHA-256 hash of the token is among the given ones.
func (t token) hashIn(hashes []string) bool {
	if t == "" {
		return false
	}
	sum := sha256.Sum256([]byte(t))
	tokenHash := hex.EncodeToString(sum[:])
	ok := false
	for _, s := range hashes {
		if subtle.ConstantTimeCompare([]byte(s), []byte(tokenHash)) == 1 {
			ok = true
		}
	}
	return ok
}

// customerOf returns the customer that a request's token belongs to.
func (e *Entry) customerOf(c *app.RequestContext) (string, error) {
	t := bearerToken(c)
	customer := ""
	e.read(func(s *core.State) {
		for _, name := range s.Config.Customers() {
			if t.hashIn(s.Config.Contracts[name].Contract.TokenSHA256) {
				customer = name
			}
		}
	})
	if customer == "" {
		return "", errdefs.New(errdefs.Unauthorized, "the token belongs to no customer", "send Authorization: Bearer TOKEN")
	}
	return customer, nil
}

// operatorAllowed checks an operator's token. Without a configured token it allows everybody who reaches the listener.
func (e *Entry) operatorAllowed(c *app.RequestContext) error {
	if e.set.OperatorTokenSHA256 == "" || bearerToken(c).hashIn([]string{e.set.OperatorTokenSHA256}) {
		return nil
	}
	return errdefs.New(errdefs.Unauthorized, "the operators' token is missing or wrong", "set VERBENAKEEL_TOKEN or pass --token")
}

func asTypedError(err error) (*errdefs.Error, bool) {
	var e *errdefs.Error
	ok := errors.As(err, &e)
	return e, ok
}
