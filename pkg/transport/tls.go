package transport

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// reloadInterval is the shortest time between two checks of the files, so that many
// handshakes in a short time do not cause as many stat calls.
const reloadInterval = time.Second

// TLSSource holds the certificate, key and CA of a node and reloads them when the
// files change.
type TLSSource struct {
	certFile, keyFile, caFile string

	mu              sync.Mutex
	lastCheckedAt   time.Time
	stamps          [3]fileStamp
	state           *credentials
	lastReloadError error
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// credentials are the parsed contents of the files; certificate and key match.
type credentials struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// NewTLSSource reads the PEM files. It fails if one of them cannot be read or
// parsed, or if the key does not belong to the certificate.
func NewTLSSource(certFile, keyFile, caFile string) (*TLSSource, error) {
	s := &TLSSource{certFile: certFile, keyFile: keyFile, caFile: caFile}
	s.reload(time.Now())
	if s.state == nil {
		return nil, s.lastReloadError
	}
	return s, nil
}

// LastReloadError returns the error of the last attempt to reload changed files, or
// nil if it succeeded.
func (s *TLSSource) LastReloadError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastReloadError
}

// current returns the newest valid credentials.
func (s *TLSSource) current() *credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.lastCheckedAt) >= reloadInterval {
		s.reload(now)
	}
	return s.state
}

// reload reloads the files if they have changed. It retains the old credentials if
// the files are unreadable or do not match, which is the case for a moment while a
// tool replaces them one by one.
func (s *TLSSource) reload(now time.Time) {
	s.lastCheckedAt = now
	stamps, err := s.stat()
	if err != nil {
		s.lastReloadError = err
		return
	}
	if s.lastReloadError == nil && s.state != nil && stamps == s.stamps {
		return
	}
	state, err := s.load()
	s.lastReloadError = err
	if err != nil {
		return
	}
	s.state, s.stamps = state, stamps
}

func (s *TLSSource) stat() (stamps [3]fileStamp, err error) {
	for i, path := range []string{s.certFile, s.keyFile, s.caFile} {
		info, err := os.Stat(path)
		if err != nil {
			return stamps, eris.Wrap(err, "stat TLS file")
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (s *TLSSource) load() (*credentials, error) {
	certificate, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		return nil, eris.Wrap(err, "load certificate and key")
	}
	ca, err := os.ReadFile(s.caFile)
	if err != nil {
		return nil, eris.Wrap(err, "read CA file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, eris.Errorf("no certificate in CA file %s", s.caFile)
	}
	return &credentials{certificate: certificate, roots: roots}, nil
}

// resetKey derives the key of stateless resets from the private key, so that a
// process restarted with the same private key resets the connections of its
// predecessor immediately, before peers detect them as unresponsive.
func (s *TLSSource) resetKey() (*quic.StatelessResetKey, error) {
	der, err := x509.MarshalPKCS8PrivateKey(s.current().certificate.PrivateKey)
	if err != nil {
		return nil, eris.Wrap(err, "encode private key")
	}
	mac := hmac.New(sha256.New, der)
	mac.Write([]byte("azurespring stateless reset"))
	key := quic.StatelessResetKey(mac.Sum(nil))
	return &key, nil
}

// serverConfig returns a server configuration that uses the current credentials
// for each handshake.
func (s *TLSSource) serverConfig(protocols []string) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		state := s.current()
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			NextProtos:   protocols,
			Certificates: []tls.Certificate{state.certificate},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    state.roots,
			// Resumption would keep a peer connected whose CA has been replaced.
			SessionTicketsDisabled: true,
		}, nil
	}
	return base
}

// clientConfig returns a client configuration for one dial. Peers are dialed by IP
// address, so the certificate chain is verified without a host name.
func (s *TLSSource) clientConfig(protocols []string, serverName string) *tls.Config {
	state := s.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		ServerName:         serverName,
		Certificates:       []tls.Certificate{state.certificate},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies the chain.
		VerifyConnection:   func(c tls.ConnectionState) error { return verifyServer(c, state.roots) },
	}
}

func verifyServer(c tls.ConnectionState, roots *x509.CertPool) error {
	if len(c.PeerCertificates) == 0 {
		return eris.New("peer sent no certificate")
	}
	options := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool()}
	for _, intermediate := range c.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err := c.PeerCertificates[0].Verify(options)
	return eris.Wrap(err, "verify peer certificate")
}

// instanceName returns the name of the instance in a certificate.
func instanceName(certificate *x509.Certificate) string {
	if len(certificate.DNSNames) != 0 {
		return certificate.DNSNames[0]
	}
	return certificate.Subject.CommonName
}
