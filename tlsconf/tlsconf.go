// Package tlsconf configures mutual TLS between processes and with operators. Certificates name roles rather than
// addresses, because instances may be replaced at any time and are known by IP address only: the organizational unit of
// the subject is entry, side or operator, and the common name is the id of the process or the name of the operator. URI
// names bind a side process to instances.
//
// Changed files are reloaded for new connections without a restart.
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

// recheckInterval is the least time between checks of the files, which are made when a connection is set up.
const recheckInterval = time.Second

// Role is a role that a certificate grants to its holder.
type Role string

// Roles.
const (
	Entry    Role = "entry"
	Side     Role = "side"
	Operator Role = "operator"
)

// Files holds the paths of a process's PEM files. All are empty if TLS is off.
type Files struct {
	// Cert is the file with the certificate, followed by intermediate certificates if there are any.
	Cert string
	// Key is the file with the certificate's private key.
	Key string
	// CA is the file with the authorities that sign the certificates of other processes and of operators.
	CA string
}

// On reports whether TLS is configured.
func (f Files) On() bool { return f != Files{} }

// fileContents holds the contents of the files.
type fileContents struct{ cert, key, ca []byte }

func (c fileContents) equal(o fileContents) bool {
	return bytes.Equal(c.cert, o.cert) && bytes.Equal(c.key, o.key) && bytes.Equal(c.ca, o.ca)
}

// Keys holds the certificate, key and authorities of a process.
type Keys struct {
	files Files
	// onReload is called with nil after changed files were loaded, and with the error if they could not be.
	onReload func(error)

	mu        sync.Mutex
	checkedAt time.Time
	loaded    fileContents
	// rejected and lastError are the last contents that could not be loaded and their error, so that each fault is reported
	// once.
	rejected  fileContents
	lastError string
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// Load loads the files. onReload is called after each later reload and each failure of one; it may be nil.
func Load(files Files, onReload func(error)) (*Keys, error) {
	if onReload == nil {
		onReload = func(error) {}
	}
	k := &Keys{files: files, onReload: onReload}
	c, err := files.read()
	if err != nil {
		return nil, err
	}
	if k.cert, k.pool, err = parse(files, c); err != nil {
		return nil, err
	}
	k.loaded, k.checkedAt = c, time.Now()
	return k, nil
}

func (f Files) read() (fileContents, error) {
	var c fileContents
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

func parse(f Files, c fileContents) (*tls.Certificate, *x509.CertPool, error) {
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

// current returns the certificate and the authorities, and reloads them if the files changed. If the new files cannot be
// loaded, the old ones stay in use.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checkedAt) < recheckInterval {
		return k.cert, k.pool
	}
	k.checkedAt = time.Now()
	c, err := k.files.read()
	if err == nil && c.equal(k.loaded) {
		k.lastError = ""
		return k.cert, k.pool
	}
	var cert *tls.Certificate
	var pool *x509.CertPool
	if err == nil {
		cert, pool, err = parse(k.files, c)
	}
	if err != nil {
		if err.Error() != k.lastError || !c.equal(k.rejected) {
			k.lastError, k.rejected = err.Error(), c
			k.onReload(err)
		}
		return k.cert, k.pool
	}
	k.cert, k.pool, k.loaded, k.lastError = cert, pool, c, ""
	k.onReload(nil)
	return k.cert, k.pool
}

// Server returns the configuration of a listener that accepts peers with one of the roles.
func (k *Keys) Server(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := k.current()
			return cert, nil
		},
		// VerifyConnection verifies the chain against the current authorities.
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: k.verify(x509.ExtKeyUsageClientAuth, roles),
	}
}

// Client returns the configuration of a client that accepts servers with one of the roles.
func (k *Keys) Client(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := k.current()
			return cert, nil
		},
		// The standard verification requires the peer's address in its certificate. VerifyConnection verifies the chain, the
		// key usage and the role instead.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verify(x509.ExtKeyUsageServerAuth, roles),
	}
}

// verify returns a function that verifies a peer's certificate.
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

// PeerName returns the common name of a verified peer; empty without a certificate.
func PeerName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

// instanceScheme and instanceHost are the scheme and host of the URI by which a certificate names an instance:
// verbenakeel://instance/ID.
const (
	instanceScheme = "verbenakeel"
	instanceHost   = "instance"
)

// InstanceURI returns the URI that names an instance in a certificate.
func InstanceURI(id string) *url.URL {
	return &url.URL{Scheme: instanceScheme, Host: instanceHost, Path: "/" + id}
}

// Instances returns the instances that a verified peer's certificate names; none means that it is not bound to any.
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

// CheckInstance returns an error of kind Unauthorized if a certificate names instances, but not this one.
func CheckInstance(named []string, id string) error {
	if len(named) == 0 || slices.Contains(named, id) {
		return nil
	}
	return errdefs.New(errdefs.Unauthorized, fmt.Sprintf("the certificate names instance %s, not %s", strings.Join(named, ", "), id),
		"issue one whose URI name is "+InstanceURI(id).String())
}
