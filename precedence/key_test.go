package precedence_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lycheecrank.example/precedence"
)

// Guards against a key of another kind that is taken, and against an error that
// shows the content of the file.
func TestParseKey(t *testing.T) {
	is := is.New(t)
	key, err := precedence.GenerateKey()
	is.NoErr(err)
	ec, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	encode := func(kind string, key any) string {
		der, err := x509.MarshalPKCS8PrivateKey(key)
		is.NoErr(err)
		return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
	}
	good := encode("PRIVATE KEY", key)
	parsed, err := precedence.ParseKey([]byte(good))
	is.NoErr(err)
	is.True(parsed.Equal(key))
	for _, bad := range []string{"", "secret", encode("PRIVATE KEY", ec), encode("CERTIFICATE", key), strings.Replace(good, "M", "Z", 1)} {
		_, err := precedence.ParseKey([]byte(bad))
		is.True(errors.Is(err, precedence.ErrKey))
		is.Equal(err.Error(), "parse signing key: no Ed25519 private key in PEM form")
	}
}
