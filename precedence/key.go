package precedence

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"errors"

	"github.com/rotisserie/eris"
)

// ErrInvalidKey is returned for data that is not a PEM block with an Ed25519 private
// key (PKCS #8). Its text never quotes the data, which may be secret.
var ErrInvalidKey = errors.New("not an Ed25519 private key in PEM form")

// ParseKey returns the signing key from the content of a PEM file.
func ParseKey(data []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != "PRIVATE KEY" {
		return nil, eris.Wrap(ErrInvalidKey, "parse signing key")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, eris.Wrap(ErrInvalidKey, "parse signing key")
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, eris.Wrap(ErrInvalidKey, "parse signing key")
	}
	return key, nil
}

// GenerateKey returns a new signing key.
func GenerateKey() (ed25519.PrivateKey, error) {
	_, key, err := ed25519.GenerateKey(rand.Reader)
	return key, eris.Wrap(err, "generate signing key")
}

// Fingerprint returns the first eight bytes of the SHA-256 digest of a public key in
// hexadecimal, which identifies the key in reports.
func Fingerprint(key ed25519.PublicKey) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:8])
}
