package static

import (
	"crypto/tls"
	"crypto/x509"
	"math"
	"net"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// errRequired reports a setting without a value.
var errRequired = eris.New("is required")

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$`)

func name(to *string) func(string) error {
	return func(text string) error {
		*to = text
		if text == "" {
			return errRequired
		}
		if !namePattern.MatchString(text) {
			return eris.Errorf("%q must be 1 to 127 letters, digits and ._- that begin with a letter or digit", text)
		}
		return nil
	}
}

// listen accepts "host:port" and ":port"; port 0 binds any free port.
func listen(to *string) func(string) error {
	return func(text string) error {
		*to = text
		host, port, err := net.SplitHostPort(text)
		if err != nil {
			return eris.Errorf("%q must be an address such as 10.0.0.7:7400 or :7400", text)
		}
		if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			return eris.Errorf("%q must end with a port from 0 to 65535", text)
		}
		if _, err := netip.ParseAddr(host); host != "" && err != nil {
			return eris.Errorf("%q must begin with an IP address or with the colon", text)
		}
		return nil
	}
}

// loopback accepts only loopback addresses, because calls on them need no key.
func loopback(to *string) func(string) error {
	return func(text string) error {
		if err := listen(to)(text); err != nil {
			return err
		}
		if address, err := netip.ParseAddrPort(text); err != nil || !address.Addr().IsLoopback() {
			return eris.Errorf("%q must be a loopback address, because calls on it need no key", text)
		}
		return nil
	}
}

// advertise accepts an address that other instances can reach; empty text is
// filled in by derive.
func advertise(to *string) func(string) error {
	return func(text string) error {
		*to = text
		if text == "" {
			return nil
		}
		address, err := netip.ParseAddrPort(text)
		if err != nil || address.Addr().IsUnspecified() {
			return eris.Errorf("%q must be an IP address and port such as 10.0.0.7:7402", text)
		}
		return nil
	}
}

// derive fills in settings that depend on others and checks settings that
// belong together.
func (l *loader) derive(s *Settings) {
	if s.NodeAdvertiseAddress == "" {
		s.NodeAdvertiseAddress = s.NodeListenAddress
		address, err := netip.ParseAddrPort(s.NodeListenAddress)
		if err != nil || address.Addr().IsUnspecified() {
			l.fault("node-advertise", "is required, because -node-listen %q names no IP address", s.NodeListenAddress)
		}
	}
	if s.AdminAdvertiseAddress == "" {
		s.AdminAdvertiseAddress = deriveAdmin(s.AdminListenAddress, s.NodeAdvertiseAddress)
	}
	l.checkPair("tls-cert", s.TLS)
	if s.CallerTLS.Enabled() != (s.CallerTLS.KeyFile != "") {
		l.fault("caller-tls-cert", "must be given together with -caller-tls-key")
	}
	l.checkPair("caller-tls-cert", s.CallerTLS)
}

// deriveAdmin returns listen with the IP of nodeAdvertise unless it has its own.
func deriveAdmin(listen, nodeAdvertise string) string {
	host, port, err := net.SplitHostPort(listen)
	if err != nil {
		return listen
	}
	if ip, err := netip.ParseAddr(host); err == nil && !ip.IsUnspecified() {
		return listen
	}
	node, _, err := net.SplitHostPort(nodeAdvertise)
	if err != nil {
		return listen
	}
	return net.JoinHostPort(node, port)
}

// checkPair checks that certificate and key are readable and belong together.
// Files that are missing or unreadable have been reported already.
func (l *loader) checkPair(flag string, files TLSFiles) {
	if files.CertFile == "" || files.KeyFile == "" {
		return
	}
	for _, path := range []string{files.CertFile, files.KeyFile} {
		if _, err := os.ReadFile(path); err != nil {
			return
		}
	}
	if _, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile); err != nil {
		l.fault(flag, "certificate and key are not usable together: %v", err)
	}
}

// optional skips the check of an empty text.
func optional(check func(string) error) func(string) error {
	return func(text string) error {
		if text == "" {
			return nil
		}
		return check(text)
	}
}

func readable(to *string) func(string) error {
	return func(text string) error {
		*to = text
		if text == "" {
			return errRequired
		}
		_, err := os.ReadFile(text)
		return err
	}
}

func token(to *string) func(string) error {
	return func(text string) error {
		*to = text
		_, err := ReadToken(text)
		return err
	}
}

// ReadToken returns the bearer token in a file, without surrounding space.
func ReadToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	text := strings.TrimSpace(string(data))
	if text == "" || strings.ContainsAny(text, " \t\r\n") {
		return "", eris.Errorf("%s must hold one token without spaces", path)
	}
	return text, nil
}

func authorities(to *string) func(string) error {
	return func(text string) error {
		if err := readable(to)(text); err != nil {
			return err
		}
		data, err := os.ReadFile(text)
		if err != nil {
			return err
		}
		if !x509.NewCertPool().AppendCertsFromPEM(data) {
			return eris.Errorf("%s holds no PEM certificate", text)
		}
		return nil
	}
}

func seeds(to *[]string) func(string) error {
	return func(text string) error {
		*to = nil
		for seed := range strings.SplitSeq(text, ",") {
			if seed = strings.TrimSpace(seed); seed == "" {
				continue
			}
			address, err := netip.ParseAddrPort(seed)
			if err != nil || address.Port() == 0 {
				return eris.Errorf("%q must be an IP address and port such as 10.0.0.7:7402", seed)
			}
			*to = append(*to, seed)
		}
		return nil
	}
}

func serviceURL(to *string) func(string) error {
	return func(text string) error {
		*to = text
		if text == "" {
			return errRequired
		}
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
			return eris.Errorf("%q must be a URL such as https://10.0.0.1:6443", text)
		}
		return nil
	}
}

func rate(to *float64) func(string) error {
	return func(text string) error {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(n) || n <= 0 || n > maxCallsPerSecond {
			return eris.Errorf("%q must be a number above 0 and up to %d", text, maxCallsPerSecond)
		}
		*to = n
		return nil
	}
}

func integer(to *int, least, most int) func(string) error {
	return func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < least || n > most {
			return eris.Errorf("%q must be a whole number from %d to %d", text, least, most)
		}
		*to = n
		return nil
	}
}

func duration(to *time.Duration, least, most time.Duration) func(string) error {
	return func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < least || d > most {
			return eris.Errorf(`%q must be a duration such as "30s" from %s to %s`, text, least, most)
		}
		*to = d
		return nil
	}
}

func level(to *logrus.Level) func(string) error {
	return func(text string) error {
		parsed, err := logrus.ParseLevel(text)
		if err != nil || parsed < logrus.ErrorLevel || parsed > logrus.DebugLevel {
			return eris.Errorf("%q must be error, warn, info or debug", text)
		}
		*to = parsed
		return nil
	}
}
