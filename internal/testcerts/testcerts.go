// Package testcerts issues certificates for tests from an in-memory CA.
package testcerts

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// validity is how long certificates are valid before and after they are issued. The
// time before tolerates clock differences between test processes.
const validity = 24 * time.Hour

// Authority is a certificate authority for tests.
type Authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	pem         []byte
}

// Certificate is an issued certificate with its private key, both PEM-encoded.
type Certificate struct {
	CertificatePEM []byte
	KeyPEM         []byte
}

// Files holds the paths of the PEM files of one node.
type Files struct {
	CertificatePath string
	KeyPath         string
	CAPath          string
}

// NewAuthority creates a CA with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate the CA key")
	}
	template := newTemplate("azurespring test CA")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "create the CA certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "parse the CA certificate")
	}
	return &Authority{key: key, certificate: certificate, pem: encodePEM("CERTIFICATE", der)}, nil
}

// CertificatePEM returns the CA certificate.
func (a *Authority) CertificatePEM() []byte { return a.pem }

// Issue returns a certificate for the node named instance. It is valid for client and
// server authentication.
func (a *Authority) Issue(instance string) (Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Certificate{}, eris.Wrap(err, "generate a node key")
	}
	template := newTemplate(instance)
	template.DNSNames = []string{instance}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Certificate{}, eris.Wrap(err, "create a node certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Certificate{}, eris.Wrap(err, "encode a node key")
	}
	return Certificate{CertificatePEM: encodePEM("CERTIFICATE", der), KeyPEM: encodePEM("PRIVATE KEY", keyDER)}, nil
}

// IssueFiles issues a certificate for instance and writes it, its key and the CA
// certificate to dir. It replaces each file by a rename, as an operator's tool would
// do.
func (a *Authority) IssueFiles(dir, instance string) (Files, error) {
	issued, err := a.Issue(instance)
	if err != nil {
		return Files{}, err
	}
	files := Files{
		CertificatePath: filepath.Join(dir, instance+".crt"),
		KeyPath:         filepath.Join(dir, instance+".key"),
		CAPath:          filepath.Join(dir, "ca.crt"),
	}
	contents := map[string][]byte{
		files.CertificatePath: issued.CertificatePEM, files.KeyPath: issued.KeyPEM, files.CAPath: a.pem,
	}
	for path, content := range contents {
		if err := replaceFile(path, content); err != nil {
			return Files{}, err
		}
	}
	return files, nil
}

func replaceFile(path string, content []byte) error {
	tempPath := path + ".new"
	if err := os.WriteFile(tempPath, content, 0o600); err != nil {
		return eris.Wrapf(err, "write %s", tempPath)
	}
	return eris.Wrapf(os.Rename(tempPath, path), "rename %s", tempPath)
}

func newTemplate(name string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		serial = big.NewInt(time.Now().UnixNano())
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-validity),
		NotAfter:     now.Add(validity),
	}
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
