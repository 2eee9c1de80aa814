package catalogue_test

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"lycheecrank.example/catalogue"
)

// Guards against example catalogues that are invalid or lack a pool of the
// deployment that they describe.
func TestExamples(t *testing.T) {
	for name, pools := range map[string]map[string]int{
		"agency":           {"models": 20, "recall-registry": 5, "retailer-notification": 5, "lab-intake": 5, "public-portal": 5},
		"contagem-serrana": {"summary-models": 20, "tally-service": 5, "venue-registry": 5, "billing": 5, "dashboard": 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile("../examples/" + name + ".yaml")
			is.NoErr(err)
			f, err := catalogue.ReadFile(data, name)
			is.NoErr(err)
			is.NoErr(f.Check(catalogue.Catalogue{}, name))
			c := apply(t, catalogue.Catalogue{}, f.Entries...)
			for pool, servers := range pools {
				is.Equal(len(c.Servers(pool)), servers)
			}
			is.Equal(len(c.EntriesOfKind(catalogue.DataCentreKind)), 4)
			is.Equal(len(c.EntriesOfKind(catalogue.WorkspaceKind)), 5)
		})
	}
}
