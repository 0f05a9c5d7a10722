package static_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"flag"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/config/static"
)

// pair writes a self-signed certificate and its key.
func pair(t *testing.T) (cert, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(private)
	assert.NilError(t, err)
	return write(t, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		write(t, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
}

func write(t *testing.T, data []byte) string {
	path := filepath.Join(t.TempDir(), "file")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	return path
}

func required(t *testing.T) []string {
	cert, key := pair(t)
	return []string{
		"AZURESPRING_REGION=west", "AZURESPRING_FAILURE_DOMAIN=west-1", "AZURESPRING_PLATFORM_URL=http://10.0.0.1:80",
		"AZURESPRING_PLATFORM_REGION=west", "AZURESPRING_NODE_ADVERTISE=10.0.0.7:7402",
		"AZURESPRING_TLS_CERT=" + cert, "AZURESPRING_TLS_KEY=" + key, "AZURESPRING_TLS_CA=" + cert,
	}
}

// Guards against a variable that wins over a flag, an unusable default and a
// random name that is the same on two instances.
func TestLoadTakesFlagsThenEnvironmentThenDefaults(t *testing.T) {
	env := append(required(t), "AZURESPRING_SEEDS=10.0.0.8:7402, 10.0.0.9:7402", "AZURESPRING_NODES=other program", "AZURESPRING_LOG_LEVEL=")
	settings, err := static.Load([]string{"-region", "east", "-drain-timeout=45s"}, env, &bytes.Buffer{})
	assert.NilError(t, err)
	assert.Equal(t, settings.Region, "east")
	assert.Equal(t, settings.FailureDomain, "west-1")
	assert.Equal(t, settings.DrainTimeout, 45*time.Second)
	assert.Equal(t, settings.AdminAdvertiseAddress, "10.0.0.7:7403")
	assert.Equal(t, settings.Platform.WritesPerSecond, 5.0)
	assert.DeepEqual(t, settings.UnknownVariables, []string{"AZURESPRING_NODES"})
	assert.DeepEqual(t, settings.Seeds, []string{"10.0.0.8:7402", "10.0.0.9:7402"})
	again, err := static.Load(nil, env, &bytes.Buffer{})
	assert.NilError(t, err)
	assert.Assert(t, again.Instance != settings.Instance)
}

// Guards against each bad setting being found only after the process serves.
func TestLoadRefuses(t *testing.T) {
	otherCert, _ := pair(t)
	empty := write(t, nil)
	for _, test := range []struct {
		name string
		args []string
		want string
	}{
		{"name", []string{"-instance", "a b"}, "-instance (AZURESPRING_INSTANCE): "},
		{"host name to listen on", []string{"-caller-listen", "localhost:80"}, "must begin with an IP address"},
		{"port", []string{"-node-listen", ":70000"}, "port from 0 to 65535"},
		{"open target address", []string{"-target-listen", "0.0.0.0:7401"}, "must be a loopback address"},
		{"advertised wildcard", []string{"-node-advertise", "0.0.0.0:7402"}, "must be an IP address and port"},
		{"seed without port", []string{"-seeds", "10.0.0.8"}, "must be an IP address and port"},
		{"platform URL", []string{"-platform-url", "ftp://x"}, "must be a URL"},
		{"budget of 0", []string{"-platform-writes", "0"}, "above 0"},
		{"watches", []string{"-platform-watches", "1.5"}, "whole number"},
		{"key of another certificate", []string{"-tls-cert", otherCert}, "not usable together"},
		{"no authority", []string{"-tls-ca", empty}, "holds no PEM certificate"},
		{"missing file", []string{"-tls-key", empty + "2"}, "no such file"},
		{"half a pair", []string{"-caller-tls-cert", otherCert}, "must be given together with -caller-tls-key"},
		{"empty token", []string{"-admin-token-file", empty}, "must hold one token"},
		{"log level", []string{"-log-level", "loud"}, "must be error, warn, info or debug"},
		{"drain timeout", []string{"-drain-timeout", "30"}, "must be a duration"},
		{"argument", []string{"stray"}, `unexpected arguments ["stray"]`},
		{"unknown flag", []string{"-colour", "red"}, "flag provided but not defined"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := static.Load(test.args, required(t), &bytes.Buffer{})
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// Guards against operators who repair one setting per start.
func TestLoadReportsAllFaults(t *testing.T) {
	_, err := static.Load([]string{"-log-level", "loud"}, nil, &bytes.Buffer{})
	var faults static.Faults
	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, len(faults), 9, "%s", err)
}

// Guards against -print-config and -version starting a node.
func TestLoadPrints(t *testing.T) {
	for _, test := range []struct {
		flag, want string
		err        error
	}{
		{"-print-config", "AZURESPRING_DRAIN_TIMEOUT=30s\n", static.ErrInfoPrinted},
		{"-version", "azurespring-node ", static.ErrInfoPrinted},
		{"-help", "-caller-tls-key file", flag.ErrHelp},
	} {
		var output bytes.Buffer
		_, err := static.Load([]string{test.flag}, required(t), &output)
		assert.Assert(t, errors.Is(err, test.err), "%v", err)
		assert.Assert(t, strings.Contains(output.String(), test.want), output.String())
	}
}
