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

// Guards against accepting a key of another kind, and against an error text that
// contains the content of the file.
func TestParseKey(t *testing.T) {
	is := is.New(t)
	key, err := precedence.GenerateKey()
	is.NoErr(err)
	ecdsaKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	encode := func(blockType string, key any) string {
		der, err := x509.MarshalPKCS8PrivateKey(key)
		is.NoErr(err)
		return string(pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}))
	}
	valid := encode("PRIVATE KEY", key)
	parsed, err := precedence.ParseKey([]byte(valid))
	is.NoErr(err)
	is.True(parsed.Equal(key))
	for _, invalid := range []string{"", "secret", encode("PRIVATE KEY", ecdsaKey), encode("CERTIFICATE", key), strings.Replace(valid, "M", "Z", 1)} {
		_, err := precedence.ParseKey([]byte(invalid))
		is.True(errors.Is(err, precedence.ErrInvalidKey))
		is.Equal(err.Error(), "parse signing key: not an Ed25519 private key in PEM form")
	}
}
