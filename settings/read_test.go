package settings_test

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/settings"
)

// Guards against a faulty file that is accepted, against faults that are
// reported one at a time, and against messages without line or path. Each file
// testdata/NAME.yaml has its outcome in testdata/NAME.golden.
func TestRead(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no test data", err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata"))
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".yaml")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(f)
			is.NoErr(err)
			s, err := settings.Read(data, filepath.Base(f))
			if strings.HasPrefix(name, "valid") {
				is.NoErr(err)
				g.Assert(t, name, []byte(s.String()))
				return
			}
			is.True(errors.Is(err, settings.ErrInvalid))
			is.Equal(s, settings.Settings{}) // no part of a faulty file is used
			g.Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

// Guards against a signing key that reaches the log through the settings or a
// message about them.
func TestSigningKeyStaysOutOfText(t *testing.T) {
	is := is.New(t)
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	der, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	secret := base64.StdEncoding.EncodeToString(der)
	block := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
	file := filepath.Join(t.TempDir(), "key.pem")
	is.NoErr(os.WriteFile(file, block, 0o600))

	base, err := os.ReadFile("testdata/validLeast.yaml")
	is.NoErr(err)
	s, err := settings.Read(append(base, "precedence: {signingKeyFile: "+file+"}\n"...), "s.yaml")
	is.NoErr(err)
	is.Equal(s.Precedence.SigningKeyFile, file)
	encoded, err := json.Marshal(s)
	is.NoErr(err)
	texts := []string{s.String(), fmt.Sprintf("%v %+v %#v", s, s, s), string(encoded)}

	indented := strings.ReplaceAll(strings.TrimSpace(string(block)), "\n", "\n    ")
	for _, faulty := range []string{
		"precedence:\n  signingKeyFile: |\n    " + indented + "\n",
		"precedence:\n  signingKey: " + secret + "\n",
		"precedence: " + secret + "\n",
		"retry:\n  budgetBurst: " + secret + "\n",
		"precedence: [" + secret + "\n",
	} {
		_, err := settings.Read(append(base[:len(base):len(base)], faulty...), "s.yaml")
		is.True(errors.Is(err, settings.ErrInvalid))
		texts = append(texts, err.Error())
	}
	for _, x := range texts {
		is.True(!strings.Contains(x, secret)) // the key isn't shown
		is.True(!strings.Contains(x, "PRIVATE KEY"))
	}
}
