package console

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"io/fs"
	"strings"

	"github.com/rotisserie/eris"

	"lycheecrank.example/precedence"
)

// Keys are the registered public keys of the instances.
type Keys map[precedence.Origin]ed25519.PublicKey

// unregistered returns the chains of a report without a registered key; none if
// there are no keys at all.
func (k Keys) unregistered(r precedence.Report) []precedence.Origin {
	chains := []precedence.Origin{}
	for _, c := range r.Chains {
		if len(k) > 0 && !c.KeyRegistered {
			chains = append(chains, c.Origin)
		}
	}
	return chains
}

// maxKeyBytes bounds the size of a key file; an Ed25519 key takes some 120.
const maxKeyBytes = 64 << 10

// ReadKeys reads a directory of public keys: PEM files (PKIX, "PUBLIC KEY")
// named INSTANCE.pem, or INSTANCE@INCARNATION.pem for a key of one start. Every
// file of the directory must be one. It returns ErrUsage.
func ReadKeys(dir fs.FS) (Keys, error) {
	files, err := fs.ReadDir(dir, ".")
	if err != nil {
		return nil, eris.Wrap(ErrUsage, err.Error())
	}
	keys := Keys{}
	for _, f := range files {
		name, isPEM := strings.CutSuffix(f.Name(), ".pem")
		if !isPEM {
			return nil, eris.Wrapf(ErrUsage, "%s is not named INSTANCE.pem or INSTANCE@INCARNATION.pem", f.Name())
		}
		key, err := readKey(dir, f)
		if err != nil {
			return nil, err
		}
		instance, incarnation, _ := strings.Cut(name, "@")
		keys[precedence.Origin{Instance: instance, Incarnation: incarnation}] = key
	}
	if len(keys) == 0 {
		return nil, eris.Wrap(ErrUsage, "the directory of keys is empty")
	}
	return keys, nil
}

func readKey(dir fs.FS, f fs.DirEntry) (ed25519.PublicKey, error) {
	info, err := fs.Stat(dir, f.Name())
	if err != nil {
		return nil, eris.Wrap(ErrUsage, err.Error())
	}
	if !info.Mode().IsRegular() || info.Size() > maxKeyBytes {
		return nil, eris.Wrapf(ErrUsage, "%s is no key file", f.Name())
	}
	data, err := fs.ReadFile(dir, f.Name())
	if err != nil {
		return nil, eris.Wrap(ErrUsage, err.Error())
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != "PUBLIC KEY" {
		return nil, eris.Wrapf(ErrUsage, "%s has no PEM block PUBLIC KEY", f.Name())
	}
	parsed, err := x509.ParsePKIXPublicKey(block.Bytes)
	key, ok := parsed.(ed25519.PublicKey)
	if err != nil || !ok {
		return nil, eris.Wrapf(ErrUsage, "%s has no Ed25519 public key", f.Name())
	}
	return key, nil
}
