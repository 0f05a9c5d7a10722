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

// writeKeyPair writes a self-signed certificate and its private key to files and
// returns their paths.
func writeKeyPair(t *testing.T) (certPath, keyPath string) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(privateKey)
	assert.NilError(t, err)
	return writeFile(t, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		writeFile(t, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
}

// writeFile writes data to a temporary file and returns its path.
func writeFile(t *testing.T, data []byte) string {
	path := filepath.Join(t.TempDir(), "file")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	return path
}

// requiredEnv returns environment variables for all required settings.
func requiredEnv(t *testing.T) []string {
	certPath, keyPath := writeKeyPair(t)
	return []string{
		"AZURESPRING_REGION=west", "AZURESPRING_FAILURE_DOMAIN=west-1", "AZURESPRING_PLATFORM_URL=http://10.0.0.1:80",
		"AZURESPRING_PLATFORM_REGION=west", "AZURESPRING_NODE_ADVERTISE=10.0.0.7:7402",
		"AZURESPRING_TLS_CERT=" + certPath, "AZURESPRING_TLS_KEY=" + keyPath, "AZURESPRING_TLS_CA=" + certPath,
	}
}

// Verifies the order of precedence: flags, environment variables, defaults. Fails
// if a variable overrides a flag, a default is invalid, or the default instance
// names of two processes are equal.
func TestLoadPrefersFlagsThenEnvironmentThenDefaults(t *testing.T) {
	env := append(requiredEnv(t), "AZURESPRING_SEEDS=10.0.0.8:7402, 10.0.0.9:7402", "AZURESPRING_NODES=other program", "AZURESPRING_LOG_LEVEL=")
	settings, err := static.Load([]string{"-region", "east", "-drain-timeout=45s"}, env, &bytes.Buffer{})
	assert.NilError(t, err)
	assert.Equal(t, settings.Region, "east")
	assert.Equal(t, settings.FailureDomain, "west-1")
	assert.Equal(t, settings.DrainTimeout, 45*time.Second)
	assert.Equal(t, settings.AdminAdvertiseAddress, "10.0.0.7:7403")
	assert.Equal(t, settings.Platform.WritesPerSecond, 5.0)
	assert.DeepEqual(t, settings.UnknownVariables, []string{"AZURESPRING_NODES"})
	assert.DeepEqual(t, settings.Seeds, []string{"10.0.0.8:7402", "10.0.0.9:7402"})
	secondLoad, err := static.Load(nil, env, &bytes.Buffer{})
	assert.NilError(t, err)
	assert.Assert(t, secondLoad.Instance != settings.Instance)
}

// Verifies that each kind of invalid setting fails the start, not a later call.
func TestLoadRejectsInvalidSettings(t *testing.T) {
	otherCertPath, _ := writeKeyPair(t)
	emptyFilePath := writeFile(t, nil)
	for _, test := range []struct {
		name string
		args []string
		want string
	}{
		{"name", []string{"-instance", "a b"}, "-instance (AZURESPRING_INSTANCE): "},
		{"host name to listen on", []string{"-caller-listen", "localhost:80"}, "must begin with an IP address"},
		{"port", []string{"-node-listen", ":70000"}, "port from 0 to 65535"},
		{"target address not loopback", []string{"-target-listen", "0.0.0.0:7401"}, "must be a loopback address"},
		{"advertised wildcard", []string{"-node-advertise", "0.0.0.0:7402"}, "must be an IP address and port"},
		{"seed without port", []string{"-seeds", "10.0.0.8"}, "must be an IP address and port"},
		{"platform URL", []string{"-platform-url", "ftp://x"}, "must be a URL"},
		{"write rate of 0", []string{"-platform-writes", "0"}, "above 0"},
		{"fractional number of watches", []string{"-platform-watches", "1.5"}, "whole number"},
		{"key of another certificate", []string{"-tls-cert", otherCertPath}, "not usable together"},
		{"CA file without certificate", []string{"-tls-ca", emptyFilePath}, "holds no PEM certificate"},
		{"missing file", []string{"-tls-key", emptyFilePath + "2"}, "no such file"},
		{"certificate without key", []string{"-caller-tls-cert", otherCertPath}, "must be given together with -caller-tls-key"},
		{"empty token file", []string{"-admin-token-file", emptyFilePath}, "must hold one token"},
		{"log level", []string{"-log-level", "loud"}, "must be error, warn, info or debug"},
		{"drain timeout without unit", []string{"-drain-timeout", "30"}, "must be a duration"},
		{"unexpected argument", []string{"stray"}, `unexpected arguments ["stray"]`},
		{"unknown flag", []string{"-colour", "red"}, "flag provided but not defined"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := static.Load(test.args, requiredEnv(t), &bytes.Buffer{})
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// Verifies that one start reports all invalid settings, so that operators need
// not fix them one start at a time.
func TestLoadReportsAllValidationErrors(t *testing.T) {
	_, err := static.Load([]string{"-log-level", "loud"}, nil, &bytes.Buffer{})
	var faults static.Faults
	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, len(faults), 9, "%s", err)
}

// Verifies that -print-config, -version and -help print text and return an error
// instead of settings that would start a node.
func TestLoadPrintsRequestedTextAndDoesNotRun(t *testing.T) {
	for _, test := range []struct {
		flag, want string
		err        error
	}{
		{"-print-config", "AZURESPRING_DRAIN_TIMEOUT=30s\n", static.ErrInfoPrinted},
		{"-version", "azurespring-node ", static.ErrInfoPrinted},
		{"-help", "-caller-tls-key file", flag.ErrHelp},
	} {
		var output bytes.Buffer
		_, err := static.Load([]string{test.flag}, requiredEnv(t), &output)
		assert.Assert(t, errors.Is(err, test.err), "%v", err)
		assert.Assert(t, strings.Contains(output.String(), test.want), output.String())
	}
}
