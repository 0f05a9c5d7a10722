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

// nameParser accepts names of instances, regions and failure domains. Like the
// other parsers below it returns a function that checks a text and stores it in
// dest.
func nameParser(dest *string) func(string) error {
	return func(text string) error {
		*dest = text
		if text == "" {
			return errRequired
		}
		if !namePattern.MatchString(text) {
			return eris.Errorf("%q must be 1 to 127 letters, digits and ._- that begin with a letter or digit", text)
		}
		return nil
	}
}

// listenAddressParser accepts "IP:port" and ":port"; port 0 binds any free port.
func listenAddressParser(dest *string) func(string) error {
	return func(text string) error {
		*dest = text
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

// loopbackAddressParser accepts only loopback addresses, because calls that
// arrive on them need no customer key.
func loopbackAddressParser(dest *string) func(string) error {
	return func(text string) error {
		if err := listenAddressParser(dest)(text); err != nil {
			return err
		}
		if address, err := netip.ParseAddrPort(text); err != nil || !address.Addr().IsLoopback() {
			return eris.Errorf("%q must be a loopback address, because calls on it need no key", text)
		}
		return nil
	}
}

// advertiseAddressParser accepts an IP address and port other than the wildcard
// address. An empty text is accepted; resolveDependent fills it in.
func advertiseAddressParser(dest *string) func(string) error {
	return func(text string) error {
		*dest = text
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

// resolveDependent fills in the defaults of settings that depend on other
// settings and checks the pairs of certificate and key.
func (l *loader) resolveDependent(s *Settings) {
	if s.NodeAdvertiseAddress == "" {
		s.NodeAdvertiseAddress = s.NodeListenAddress
		address, err := netip.ParseAddrPort(s.NodeListenAddress)
		if err != nil || address.Addr().IsUnspecified() {
			l.addFault("node-advertise", "is required, because -node-listen %q names no IP address", s.NodeListenAddress)
		}
	}
	if s.AdminAdvertiseAddress == "" {
		s.AdminAdvertiseAddress = deriveAdminAdvertise(s.AdminListenAddress, s.NodeAdvertiseAddress)
	}
	l.checkKeyPair("tls-cert", s.TLS)
	if s.CallerTLS.Enabled() != (s.CallerTLS.KeyFile != "") {
		l.addFault("caller-tls-cert", "must be given together with -caller-tls-key")
	}
	l.checkKeyPair("caller-tls-cert", s.CallerTLS)
}

// deriveAdminAdvertise returns adminListen with the IP of nodeAdvertise, or
// unchanged if it has an IP other than the wildcard address.
func deriveAdminAdvertise(adminListen, nodeAdvertise string) string {
	host, port, err := net.SplitHostPort(adminListen)
	if err != nil {
		return adminListen
	}
	if ip, err := netip.ParseAddr(host); err == nil && !ip.IsUnspecified() {
		return adminListen
	}
	nodeHost, _, err := net.SplitHostPort(nodeAdvertise)
	if err != nil {
		return adminListen
	}
	return net.JoinHostPort(nodeHost, port)
}

// checkKeyPair checks that the private key belongs to the certificate. It skips
// files that are missing or unreadable, because their parsers reported them.
func (l *loader) checkKeyPair(flagName string, files TLSFiles) {
	if files.CertFile == "" || files.KeyFile == "" {
		return
	}
	for _, path := range []string{files.CertFile, files.KeyFile} {
		if _, err := os.ReadFile(path); err != nil {
			return
		}
	}
	if _, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile); err != nil {
		l.addFault(flagName, "certificate and key are not usable together: %v", err)
	}
}

// optionalParser accepts an empty text and passes any other text to parse.
func optionalParser(parse func(string) error) func(string) error {
	return func(text string) error {
		if text == "" {
			return nil
		}
		return parse(text)
	}
}

// readableFileParser accepts the path of a file that can be read.
func readableFileParser(dest *string) func(string) error {
	return func(text string) error {
		*dest = text
		if text == "" {
			return errRequired
		}
		_, err := os.ReadFile(text)
		return err
	}
}

// tokenFileParser accepts the path of a file that ReadToken accepts.
func tokenFileParser(dest *string) func(string) error {
	return func(text string) error {
		*dest = text
		_, err := ReadToken(text)
		return err
	}
}

// ReadToken returns the bearer token in a file, without surrounding white space.
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

// caFileParser accepts the path of a file with at least one PEM certificate.
func caFileParser(dest *string) func(string) error {
	return func(text string) error {
		if err := readableFileParser(dest)(text); err != nil {
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

// seedsParser accepts a comma-separated list of node addresses.
func seedsParser(dest *[]string) func(string) error {
	return func(text string) error {
		*dest = nil
		for seed := range strings.SplitSeq(text, ",") {
			if seed = strings.TrimSpace(seed); seed == "" {
				continue
			}
			address, err := netip.ParseAddrPort(seed)
			if err != nil || address.Port() == 0 {
				return eris.Errorf("%q must be an IP address and port such as 10.0.0.7:7402", seed)
			}
			*dest = append(*dest, seed)
		}
		return nil
	}
}

func serviceURLParser(dest *string) func(string) error {
	return func(text string) error {
		*dest = text
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

func rateParser(dest *float64) func(string) error {
	return func(text string) error {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(n) || n <= 0 || n > maxCallsPerSecond {
			return eris.Errorf("%q must be a number above 0 and up to %d", text, maxCallsPerSecond)
		}
		*dest = n
		return nil
	}
}

func integerParser(dest *int, minValue, maxValue int) func(string) error {
	return func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < minValue || n > maxValue {
			return eris.Errorf("%q must be a whole number from %d to %d", text, minValue, maxValue)
		}
		*dest = n
		return nil
	}
}

func durationParser(dest *time.Duration, minValue, maxValue time.Duration) func(string) error {
	return func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < minValue || d > maxValue {
			return eris.Errorf(`%q must be a duration such as "30s" from %s to %s`, text, minValue, maxValue)
		}
		*dest = d
		return nil
	}
}

func logLevelParser(dest *logrus.Level) func(string) error {
	return func(text string) error {
		parsed, err := logrus.ParseLevel(text)
		if err != nil || parsed < logrus.ErrorLevel || parsed > logrus.DebugLevel {
			return eris.Errorf("%q must be error, warn, info or debug", text)
		}
		*dest = parsed
		return nil
	}
}
