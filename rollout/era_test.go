package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// Guards against an order that is ignored, because the store has come back from an older copy
// and gave it a lower offset than a lost one, and against an order that starts anew because
// the operator has written it again.
func TestOrdersOfLaterEras(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		name string
		next Order
	}{
		{"another version at a lower offset", Order{To: "v3", Era: 2, Offset: 5}},
		{"another version at the same offset", Order{To: "v3", Era: 2, Offset: 9}},
		{"the same order at a lower offset", Order{To: "v2", Era: 2, Offset: 5}},
		{"the same order at a higher offset", Order{To: "v2", Era: 2, Offset: 12}},
		{"a late record of an earlier era", Order{To: "v3", Era: 0, Offset: 12}},
		{"the same version again in the same era", Order{To: "v2", Era: 1, Offset: 12}},
	} {
		f := newFixture(Bounds{ExposureShare: 0.2, ExposureSlack: 20, RollbackTime: 2 * time.Second})
		f.setServers("v1", "v2", "v3")
		f.Commands().ApplyOrder(Order{Pool: "p", To: "v2", Duration: 10 * time.Second, Era: 1, Offset: 9}, 9, 10, f.now)
		f.apply(f.start().WithPhase(RolledBack, "bad responses"))
		c.next.Pool, c.next.Duration = "p", 10*time.Second
		f.Commands().ApplyOrder(c.next, 9, 10, f.now)
		p := f.pool("p")
		fmt.Fprintf(&b, "%s: order %s at %d of era %d, %s", c.name, p.order.To, p.order.Offset, p.order.Era, p.phase())
		if first, ok := f.Commands().Start("p", f.now); ok {
			fmt.Fprintf(&b, ", starts as %s at %d of era %d", first.To, first.Offset, first.Era)
		}
		b.WriteByte('\n')
	}
	goldie.New(t).Assert(t, "laterEras", []byte(b.String()))
}
