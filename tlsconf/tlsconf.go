// Package tlsconf sets up mutual TLS between processes and towards operators. Certificates name roles rather than
// addresses, because instances are replaced at any time and are known by IP numbers only: the organizational unit of
// the subject is entry, side or operator, and the common name is the id of the process or the name of the operator. URI
// names bind a side process to instances.
// Changed files are used for new connections without a restart.
package tlsconf

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// recheckEvery is the least time between looks at the files; a look is made when a connection is set up.
const recheckEvery = time.Second

// Role is what a certificate allows its holder to be.
type Role string

// Roles.
const (
	Entry    Role = "entry"
	Side     Role = "side"
	Operator Role = "operator"
)

// Files names the PEM files of a process. All are empty when TLS is off.
type Files struct {
	// Cert holds the certificate, followed by intermediate ones if there are any.
	Cert string
	// Key holds the certificate's private key.
	Key string
	// CA holds the authorities that sign certificates of other processes and operators.
	CA string
}

// On reports whether TLS is configured.
func (f Files) On() bool { return f != Files{} }

// contents are the files' bytes.
type contents struct{ cert, key, ca []byte }

func (c contents) equal(o contents) bool {
	return bytes.Equal(c.cert, o.cert) && bytes.Equal(c.key, o.key) && bytes.Equal(c.ca, o.ca)
}

// Keys holds the certificate, key and authorities of a process.
type Keys struct {
	files Files
	// changed is called after changed files were taken, with nil, or could not be, with the reason.
	changed func(error)

	mu      sync.Mutex
	checked time.Time
	used    contents
	// failed are the contents that could not be used, so that each fault is told once.
	failed contents
	told   string
	cert   *tls.Certificate
	pool   *x509.CertPool
}

// Load reads the files. changed may be nil.
func Load(files Files, changed func(error)) (*Keys, error) {
	if changed == nil {
		changed = func(error) {}
	}
	k := &Keys{files: files, changed: changed}
	c, err := files.read()
	if err != nil {
		return nil, err
	}
	if k.cert, k.pool, err = parse(files, c); err != nil {
		return nil, err
	}
	k.used, k.checked = c, time.Now()
	return k, nil
}

func (f Files) read() (contents, error) {
	var c contents
	for _, r := range []struct {
		key, path string
		into      *[]byte
	}{{"tls.cert", f.Cert, &c.cert}, {"tls.key", f.Key, &c.key}, {"tls.ca", f.CA, &c.ca}} {
		data, err := os.ReadFile(r.path)
		if err != nil {
			return c, errdefs.Field(r.key, err.Error(), "name a readable PEM file")
		}
		*r.into = data
	}
	return c, nil
}

func parse(f Files, c contents) (*tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.X509KeyPair(c.cert, c.key)
	if err != nil {
		return nil, nil, errdefs.Field("tls.cert", fmt.Sprintf("%s and %s: %v", f.Cert, f.Key, err), "give a PEM certificate and the key that belongs to it")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(c.ca) {
		return nil, nil, errdefs.Field("tls.ca", f.CA+" holds no certificate", "give the PEM certificates of the authorities")
	}
	return &cert, pool, nil
}

// current returns the certificate and the authorities, read again if the files changed. Files that cannot be used leave
// the old ones in use.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checked) < recheckEvery {
		return k.cert, k.pool
	}
	k.checked = time.Now()
	c, err := k.files.read()
	if err == nil && c.equal(k.used) {
		k.told = ""
		return k.cert, k.pool
	}
	var cert *tls.Certificate
	var pool *x509.CertPool
	if err == nil {
		cert, pool, err = parse(k.files, c)
	}
	if err != nil {
		if err.Error() != k.told || !c.equal(k.failed) {
			k.told, k.failed = err.Error(), c
			k.changed(err)
		}
		return k.cert, k.pool
	}
	k.cert, k.pool, k.used, k.told = cert, pool, c, ""
	k.changed(nil)
	return k.cert, k.pool
}

// Server returns the configuration of a listener that serves holders of the roles.
func (k *Keys) Server(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := k.current()
			return cert, nil
		},
		// The chain is verified by VerifyConnection against the newest authorities.
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: k.verify(x509.ExtKeyUsageClientAuth, roles),
	}
}

// Client returns the configuration of a client that talks to holders of the roles.
func (k *Keys) Client(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := k.current()
			return cert, nil
		},
		// The standard check wants the peer's address in its certificate. VerifyConnection checks chain, use and role.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verify(x509.ExtKeyUsageServerAuth, roles),
	}
}

// verify returns the check of a peer's certificate.
func (k *Keys) verify(use x509.ExtKeyUsage, roles []Role) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errdefs.New(errdefs.Unauthorized, "the peer sent no certificate", "give it a certificate of a known authority")
		}
		_, pool := k.current()
		leaf := state.PeerCertificates[0]
		opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{use}}
		for _, c := range state.PeerCertificates[1:] {
			opts.Intermediates.AddCert(c)
		}
		if _, err := leaf.Verify(opts); err != nil {
			return errdefs.New(errdefs.Unauthorized, fmt.Sprintf("the certificate of %s is not accepted: %v", leaf.Subject, err),
				"sign it by an authority in tls.ca and check its dates")
		}
		for _, r := range roles {
			if slices.Contains(leaf.Subject.OrganizationalUnit, string(r)) {
				return nil
			}
		}
		return errdefs.New(errdefs.Unauthorized, fmt.Sprintf("the certificate of %s has none of the roles %v", leaf.Subject, roles),
			"issue one with the role as organizational unit")
	}
}

// PeerName returns the common name of a verified peer, or nothing.
func PeerName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

// instanceScheme and instanceHost begin the URI name by which a certificate names an instance:
// verbenakeel://instance/ID.
const (
	instanceScheme = "verbenakeel"
	instanceHost   = "instance"
)

// InstanceURI returns the URI name of an instance for its certificate.
func InstanceURI(id string) *url.URL {
	return &url.URL{Scheme: instanceScheme, Host: instanceHost, Path: "/" + id}
}

// Instances returns the instances that a verified peer's certificate names; none means that it is not tied to any.
func Instances(state tls.ConnectionState) []string {
	if len(state.PeerCertificates) == 0 {
		return nil
	}
	var list []string
	for _, u := range state.PeerCertificates[0].URIs {
		if u.Scheme == instanceScheme && u.Host == instanceHost {
			list = append(list, strings.TrimPrefix(u.Path, "/"))
		}
	}
	return list
}

// CheckInstance returns an error of kind Unauthorized if a certificate that names instances does not name this one.
func CheckInstance(named []string, id string) error {
	if len(named) == 0 || slices.Contains(named, id) {
		return nil
	}
	return errdefs.New(errdefs.Unauthorized, fmt.Sprintf("the certificate names instance %s, not %s", strings.Join(named, ", "), id),
		"issue one whose URI name is "+InstanceURI(id).String())
}
