// Package testca issues short-lived certificates for tests. It generates keys in memory and writes those of certificates
// to the test's directory.
package testca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/verbenakeel/verbenakeel/tlsconf"
)

// CA is a certificate authority of a test.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// PEM is the authority's certificate in PEM encoding.
	PEM []byte
}

// New returns an authority whose certificate is valid for 24 hours.
func New(name string) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(24 * time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("create CA certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse CA certificate: %w", err)
	}
	return &CA{cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}, nil
}

// Issue writes a certificate for the role, its key and the certificates of the authorities that its holder trusts to dir
// and returns the files. The certificate expires at until.
func (ca *CA) Issue(dir, name string, role tlsconf.Role, until time.Time, trusted ...*CA) (tlsconf.Files, error) {
	return ca.IssueFor(dir, name, role, until, nil, trusted...)
}

// IssueFor is like Issue, but the certificate also names instances.
func (ca *CA) IssueFor(dir, name string, role tlsconf.Role, until time.Time, instances []string, trusted ...*CA) (tlsconf.Files, error) {
	files := tlsconf.Files{
		Cert: filepath.Join(dir, name+".crt"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(dir, name+".ca"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, fmt.Errorf("generate key: %w", err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return files, fmt.Errorf("generate serial number: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	for _, id := range instances {
		template.URIs = append(template.URIs, tlsconf.InstanceURI(id))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		return files, fmt.Errorf("create certificate: %w", err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return files, fmt.Errorf("encode key: %w", err)
	}
	var pool []byte
	for _, a := range trusted {
		pool = append(pool, a.PEM...)
	}
	for path, data := range map[string][]byte{
		files.Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		files.Key:  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}), files.CA: pool,
	} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return files, fmt.Errorf("write %s: %w", path, err)
		}
	}
	return files, nil
}
