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

// cloned returns batches that can be changed without changing the originals.
func cloned(batches []precedence.Batch) []precedence.Batch {
	batches = slices.Clone(batches)
	for i := range batches {
		batches[i].Records = slices.Clone(batches[i].Records)
	}
	return batches
}

// tamper changes a field to another value of its type. An unknown type fails
// the test, so that a new field can't be left out.
func tamper(t *testing.T, v reflect.Value) {
	t.Helper()
	switch x := v.Addr().Interface().(type) {
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
		case v.Kind() == reflect.String:
			v.SetString(v.String() + "x")
		case v.CanInt():
			v.SetInt(v.Int() + 1)
		case v.CanUint():
			v.SetUint(v.Uint() + 1)
		default:
			t.Fatalf("no way to tamper with a field of type %s", v.Type())
		}
	}
}

// Guards against a field of a record that hash and signature do not cover.
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
						return x.Batch == i && x.Fault != precedence.Forged
					}))
				})
			}
		}
	}
}

// Guards against a field of a batch that the signature does not cover.
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

// resigned returns a batch with changed records and a chain and signature made
// anew, as someone with another key can make them.
func resigned(t *testing.T, b precedence.Batch, key ed25519.PrivateKey) precedence.Batch {
	t.Helper()
	b = cloned([]precedence.Batch{b})[0]
	previous := b.Records[0].Previous
	for i := range b.Records {
		b.Records[i].Class = "free"
		b.Records[i].Previous = previous
		previous = b.Records[i].Hash()
	}
	b.Head = previous
	if key == nil {
		return b
	}
	return b.WithSignature(key)
}

// Guards against batches that are dropped, moved, replaced or made up without
// being found, and against honest repeats and gaps that are taken for faults.
func TestVerifyReports(t *testing.T) {
	own := precedence.Origin{Instance: "helsinki-a-1", Incarnation: "i1"}
	swapRecords := func(b precedence.Batch) precedence.Batch {
		b = cloned([]precedence.Batch{b})[0]
		b.Records[0], b.Records[1] = b.Records[1], b.Records[0]
		return b
	}
	dropRecord := func(b precedence.Batch) precedence.Batch {
		b = cloned([]precedence.Batch{b})[0]
		b.Records = slices.Delete(b.Records, 1, 2)
		return b
	}
	registry := precedence.Verifier{Keys: map[precedence.Origin]ed25519.PublicKey{
		{Instance: own.Instance}: signingKey(1).Public().(ed25519.PublicKey),
	}}
	tests := []struct {
		name     string
		verifier precedence.Verifier
		change   func(b []precedence.Batch) []precedence.Batch
		intact   bool
	}{
		{"intact", precedence.Verifier{}, func(b []precedence.Batch) []precedence.Batch { return b }, true},
		{"none", precedence.Verifier{}, func([]precedence.Batch) []precedence.Batch { return nil }, true},
		{"repeat", precedence.Verifier{}, func(b []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{b[0], b[1], b[0], b[1], b[2], b[2]}
		}, true},
		{"secondIncarnation", precedence.Verifier{}, func(b []precedence.Batch) []precedence.Batch {
			second := chain(t, precedence.Origin{Instance: own.Instance, Incarnation: "i2"}, 5, decision("s1", 10))
			return []precedence.Batch{b[0], second[0].WithSignature(signingKey(2)), b[1], b[2]}
		}, true},
		{"startExpired", precedence.Verifier{StartExpired: true}, func(b []precedence.Batch) []precedence.Batch { return b[1:] }, true},
		{"dropFirst", precedence.Verifier{}, func(b []precedence.Batch) []precedence.Batch { return b[1:] }, false},
		{"dropMiddle", precedence.Verifier{}, func(b []precedence.Batch) []precedence.Batch { return []precedence.Batch{b[0], b[2]} }, false},
		{"dropRecord", precedence.Verifier{}, func(b []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{dropRecord(b[0]), b[1], b[2]}
		}, false},
		{"reorderBatches", precedence.Verifier{}, func(b []precedence.Batch) []precedence.Batch { return []precedence.Batch{b[0], b[2], b[1]} }, false},
		{"reorderRecords", precedence.Verifier{}, func(b []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{b[0], swapRecords(b[1]), b[2]}
		}, false},
		{"rechained", precedence.Verifier{}, func(b []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{b[0], resigned(t, b[1], nil), b[2]}
		}, false},
		{"forgedLater", precedence.Verifier{}, func(b []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{b[0], resigned(t, b[1], signingKey(2)), b[2]}
		}, false},
		{"forgedInserted", precedence.Verifier{}, func(b []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{b[0], b[1], resigned(t, b[1], signingKey(2)), b[2]}
		}, false},
		{"forgedFirstRegistered", registry, func(b []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{resigned(t, b[0], signingKey(2)), b[1], b[2]}
		}, false},
		{"twoForms", precedence.Verifier{}, func(b []precedence.Batch) []precedence.Batch {
			return []precedence.Batch{b[0], b[1], resigned(t, b[1], signingKey(1)), b[2]}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			report := tt.verifier.Verify(tt.change(gapChain(t)))
			is.Equal(report.Intact(), tt.intact)
			data, err := precedence.JSON(report)
			is.NoErr(err)
			golden(t).Assert(t, "verify_"+tt.name, append([]byte(report.Text()), data...))
		})
	}
}
