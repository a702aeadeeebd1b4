package tlsconf_test

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/testkit/testca"
	"github.com/verbenakeel/verbenakeel/tlsconf"
)

func authority(t *testing.T) *testca.CA {
	t.Helper()
	ca, err := testca.New("test authority")
	assert.NilError(t, err)
	return ca
}

func issue(t *testing.T, dir string, ca *testca.CA, name string, role tlsconf.Role, accepts ...*testca.CA) tlsconf.Files {
	t.Helper()
	files, err := ca.Issue(dir, name, role, time.Now().Add(time.Hour), append(accepts, ca)...)
	assert.NilError(t, err)
	return files
}

func load(t *testing.T, files tlsconf.Files) *tlsconf.Keys {
	t.Helper()
	k, err := tlsconf.Load(files, nil)
	assert.NilError(t, err)
	return k
}

// handshake connects client and server, and returns the client's name as seen by the server, the server's error and the
// client's error.
func handshake(t *testing.T, server, client *tls.Config) (string, error, error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	type result struct {
		name string
		err  error
	}
	served := make(chan result, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			served <- result{"", err}
			return
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(time.Minute))
		s := tls.Server(conn, server)
		err = s.Handshake()
		served <- result{tlsconf.PeerName(s.ConnectionState()), err}
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	clientErr := tls.Client(conn, client).Handshake()
	if clientErr != nil {
		conn.Close()
	}
	r := <-served
	return r.name, r.err, clientErr
}

// Peers must be refused if their certificate lacks the required role, has expired, or is signed by an unknown authority.
func TestRoles(t *testing.T) {
	dir := t.TempDir()
	ca, other := authority(t), authority(t)
	entry := load(t, issue(t, dir, ca, "entry-1", tlsconf.Entry))
	side := load(t, issue(t, dir, ca, "instance-01", tlsconf.Side))
	ada := load(t, issue(t, dir, ca, "ada", tlsconf.Operator))
	untrusted := load(t, issue(t, dir, other, "stranger", tlsconf.Entry, ca))
	old, err := ca.Issue(dir, "old", tlsconf.Entry, time.Now().Add(-time.Minute), ca)
	assert.NilError(t, err)
	expired := load(t, old)
	for _, c := range []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"entry to side", side.Server(tlsconf.Entry), entry.Client(tlsconf.Side), true},
		{"operator to entry", entry.Server(tlsconf.Operator), ada.Client(tlsconf.Entry), true},
		{"side as operator", entry.Server(tlsconf.Operator), side.Client(tlsconf.Entry), false},
		{"operator as process", entry.Server(tlsconf.Entry, tlsconf.Side), ada.Client(tlsconf.Entry), false},
		{"side as entry", side.Server(tlsconf.Side), entry.Client(tlsconf.Entry), false},
		{"other authority", entry.Server(tlsconf.Entry), untrusted.Client(tlsconf.Entry), false},
		{"expired", entry.Server(tlsconf.Entry), expired.Client(tlsconf.Entry), false},
		{"expired server", expired.Server(tlsconf.Entry), entry.Client(tlsconf.Entry), false},
		{"no certificate", entry.Server(tlsconf.Entry), &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, serverErr, clientErr := handshake(t, c.server, c.client)
			assert.Equal(t, serverErr == nil && clientErr == nil, c.ok, "server: %v, client: %v", serverErr, clientErr)
		})
	}
	name, _, _ := handshake(t, entry.Server(tlsconf.Operator), ada.Client(tlsconf.Entry))
	assert.Equal(t, name, "ada")
}

// Changed files must be loaded without a restart, and a broken file must not prevent all connections.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	first, second := authority(t), authority(t)
	files := issue(t, dir, first, "entry-1", tlsconf.Entry)
	reloads := make(chan error, 10)
	server, err := tlsconf.Load(files, func(err error) { reloads <- err })
	assert.NilError(t, err)
	operator := load(t, issue(t, dir, second, "ada", tlsconf.Operator, first))
	connects := func(want bool) bool {
		deadline := time.Now().Add(time.Minute)
		for time.Now().Before(deadline) {
			_, s, c := handshake(t, server.Server(tlsconf.Operator), operator.Client(tlsconf.Entry))
			if (s == nil && c == nil) == want && len(reloads) > 0 {
				return true
			}
			time.Sleep(50 * time.Millisecond)
		}
		return false
	}
	assert.NilError(t, os.WriteFile(files.Key, []byte("broken"), 0o600))
	assert.Assert(t, connects(false), "the broken key was not reported")
	assert.Assert(t, errors.Is(<-reloads, errdefs.OfKind(errdefs.Invalid)))

	issue(t, dir, second, "entry-1", tlsconf.Entry, first)
	assert.Assert(t, connects(true), "the new authority is not accepted")
	assert.NilError(t, <-reloads)
}

// The error for an unusable key file must name the setting and the fault.
func TestLoadErrors(t *testing.T) {
	dir := t.TempDir()
	ca := authority(t)
	good := issue(t, dir, ca, "a", tlsconf.Entry)
	other := issue(t, dir, ca, "b", tlsconf.Entry)
	for _, c := range []struct {
		files tlsconf.Files
		text  string
	}{
		{tlsconf.Files{Cert: dir + "/none", Key: good.Key, CA: good.CA}, "tls.cert"},
		{tlsconf.Files{Cert: good.Cert, Key: other.Key, CA: good.CA}, "the key that belongs to it"},
		{tlsconf.Files{Cert: good.Cert, Key: good.Key, CA: good.Key}, "tls.ca"},
	} {
		_, err := tlsconf.Load(c.files, nil)
		assert.Assert(t, errors.Is(err, errdefs.OfKind(errdefs.Invalid)))
		assert.Assert(t, is.Contains(err.Error(), c.text))
	}
}

// A certificate that names an instance must not be accepted for another one.
func TestCheckInstance(t *testing.T) {
	assert.NilError(t, tlsconf.CheckInstance(nil, "instance-02"))
	assert.NilError(t, tlsconf.CheckInstance([]string{"instance-01", "instance-02"}, "instance-02"))
	err := tlsconf.CheckInstance([]string{"instance-01"}, "instance-02")
	assert.Equal(t, errdefs.KindOf(err), errdefs.Unauthorized)
}
