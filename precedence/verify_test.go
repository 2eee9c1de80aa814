package precedence_test

import (
	"crypto/ed25519"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/precedence"
)

// cloned returns copies of batches that can be modified independently of the originals.
func cloned(batches []precedence.Batch) []precedence.Batch {
	batches = slices.Clone(batches)
	for i := range batches {
		batches[i].Records = slices.Clone(batches[i].Records)
	}
	return batches
}

// tamper changes the value of a field. A field of an unknown type fails the test, so
// that a new field can't be left untested.
func tamper(t *testing.T, field reflect.Value) {
	t.Helper()
	switch x := field.Addr().Interface().(type) {
	case *time.Time:
		*x = x.Add(time.Nanosecond)
	case *precedence.Hash:
		x[7] ^= 1
	case *ed25519.PublicKey:
		*x = signingKey(9).Public().(ed25519.PublicKey)
	case *[]byte:
		*x = slices.Clone(*x)
		(*x)[7] ^= 1
	case *[]precedence.Record:
		*x = (*x)[:len(*x)-1]
	default:
		switch {
		case field.Kind() == reflect.String:
			field.SetString(field.String() + "x")
		case field.CanInt():
			field.SetInt(field.Int() + 1)
		case field.CanUint():
			field.SetUint(field.Uint() + 1)
		default:
			t.Fatalf("tampering is not implemented for fields of type %s", field.Type())
		}
	}
}

// Guards against a field of a record that its hash and the signature don't cover.
func TestVerifyFindsEachChangedRecordField(t *testing.T) {
	original := gapChain(t)
	for i, b := range original {
		for j := range b.Records {
			for f := range reflect.TypeFor[precedence.Record]().NumField() {
				field := reflect.TypeFor[precedence.Record]().Field(f).Name
				t.Run(fmt.Sprintf("%s of record %d of batch %d", field, j, i), func(t *testing.T) {
					is := is.New(t)
					batches := cloned(original)
					tamper(t, reflect.ValueOf(&batches[i].Records[j]).Elem().Field(f))
					report := precedence.Verify(batches)
					is.True(slices.ContainsFunc(report.Findings, func(x precedence.Finding) bool {
						return x.BatchIndex == i && x.Fault != precedence.FaultForged
					}))
				})
			}
		}
	}
}

// Guards against a field of a batch that the signature doesn't cover.
func TestVerifyFindsEachChangedBatchField(t *testing.T) {
	original := gapChain(t)
	for i := range original {
		for f := range reflect.TypeFor[precedence.Batch]().NumField() {
			field := reflect.TypeFor[precedence.Batch]().Field(f).Name
			t.Run(fmt.Sprintf("%s of batch %d", field, i), func(t *testing.T) {
				is := is.New(t)
				batches := cloned(original)
				tamper(t, reflect.ValueOf(&batches[i]).Elem().Field(f))
				is.True(!precedence.Verify(batches).Intact())
			})
		}
	}
}

// withChangedClass returns a batch with modified records and recomputed hashes, as an attacker
// could produce it. It signs the batch with the key, or keeps the old signature if the
// key is nil.
func withChangedClass(t *testing.T, batch precedence.Batch, key ed25519.PrivateKey) precedence.Batch {
	t.Helper()
	batch = cloned([]precedence.Batch{batch})[0]
	previous := batch.Records[0].PreviousHash
	for i := range batch.Records {
		batch.Records[i].Class = "free"
		batch.Records[i].PreviousHash = previous
		previous = batch.Records[i].Hash()
	}
	batch.Head = previous
	if key == nil {
		return batch
	}
	return batch.WithSignature(key)
}

// Guards against dropped, reordered, replaced or forged batches that go undetected, and
// against findings for legitimate repeats and gap records.
func TestVerifyReports(t *testing.T) {
	origin := precedence.Origin{Instance: "helsinki-a-1", Incarnation: "i1"}
	swapRecords := func(batch precedence.Batch) precedence.Batch {
		batch = cloned([]precedence.Batch{batch})[0]
		batch.Records[0], batch.Records[1] = batch.Records[1], batch.Records[0]
		return batch
	}
	dropRecord := func(batch precedence.Batch) precedence.Batch {
		batch = cloned([]precedence.Batch{batch})[0]
		batch.Records = slices.Delete(batch.Records, 1, 2)
		return batch
	}
	registry := precedence.Verifier{Keys: map[precedence.Origin]ed25519.PublicKey{
		{Instance: origin.Instance}: signingKey(1).Public().(ed25519.PublicKey),
	}}
	tests := []struct {
		name     string
		verifier precedence.Verifier
		modify   func(batches []precedence.Batch) []precedence.Batch
		intact   bool
	}{
		{"intact", precedence.Verifier{}, func(batches []precedence.Batch) []precedence.Batch { return batches }, true},
		{"noBatches", precedence.Verifier{}, func([]precedence.Batch) []precedence.Batch { return nil }, true},
		{"repeat", precedence.Verifier{}, func(batches []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{batches[0], batches[1], batches[0], batches[1], batches[2], batches[2]}
		}, true},
		{"secondIncarnation", precedence.Verifier{}, func(batches []precedence.Batch) []precedence.Batch {
			secondChain := chain(t, precedence.Origin{Instance: origin.Instance, Incarnation: "i2"}, 5, decision("s1", 10))
			return []precedence.Batch{batches[0], secondChain[0].WithSignature(signingKey(2)), batches[1], batches[2]}
		}, true},
		{"expiredStart", precedence.Verifier{AllowExpiredStart: true}, func(batches []precedence.Batch) []precedence.Batch { return batches[1:] }, true},
		{"dropFirst", precedence.Verifier{}, func(batches []precedence.Batch) []precedence.Batch { return batches[1:] }, false},
		{"dropMiddle", precedence.Verifier{}, func(batches []precedence.Batch) []precedence.Batch { return []precedence.Batch{batches[0], batches[2]} }, false},
		{"dropRecord", precedence.Verifier{}, func(batches []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{dropRecord(batches[0]), batches[1], batches[2]}
		}, false},
		{"reorderBatches", precedence.Verifier{}, func(batches []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{batches[0], batches[2], batches[1]}
		}, false},
		{"reorderRecords", precedence.Verifier{}, func(batches []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{batches[0], swapRecords(batches[1]), batches[2]}
		}, false},
		{"rechained", precedence.Verifier{}, func(batches []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{batches[0], withChangedClass(t, batches[1], nil), batches[2]}
		}, false},
		{"forgedLater", precedence.Verifier{}, func(batches []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{batches[0], withChangedClass(t, batches[1], signingKey(2)), batches[2]}
		}, false},
		{"forgedInserted", precedence.Verifier{}, func(batches []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{batches[0], batches[1], withChangedClass(t, batches[1], signingKey(2)), batches[2]}
		}, false},
		{"forgedFirstRegistered", registry, func(batches []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{withChangedClass(t, batches[0], signingKey(2)), batches[1], batches[2]}
		}, false},
		{"conflictingBatches", precedence.Verifier{}, func(batches []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{batches[0], batches[1], withChangedClass(t, batches[1], signingKey(1)), batches[2]}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			report := tt.verifier.Verify(tt.modify(gapChain(t)))
			is.Equal(report.Intact(), tt.intact)
			data, err := precedence.JSON(report)
			is.NoErr(err)
			golden(t).Assert(t, "verify_"+tt.name, append([]byte(report.Text()), data...))
		})
	}
}
