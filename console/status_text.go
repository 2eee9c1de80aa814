package console

import (
	"fmt"
	"strings"
	"time"
)

// Text returns tables for people. Tables without rows are left out.
func (s Status) Text() string {
	var b strings.Builder
	for _, w := range s.Warnings {
		fmt.Fprintf(&b, "warning: %s\n", w)
	}
	silent := len(s.Instances) - s.Answering
	fmt.Fprintf(&b, "revision %d: adopted by %d of %d answering instances", s.Revision, s.Adopted, s.Answering)
	if s.Answering > 0 {
		fmt.Fprintf(&b, " (%.1f%%)", 100*float64(s.Adopted)/float64(s.Answering))
	}
	fmt.Fprintf(&b, ", %d without answer\n", silent)
	if len(s.Behind) > 0 {
		fmt.Fprintf(&b, "not yet adopted by: %s\n", strings.Join(s.Behind, " "))
	}
	s.section(&b, "instances", s.instanceTable())
	s.section(&b, "backend servers", s.serverTable())
	s.section(&b, "queues", s.queueTable())
	s.section(&b, "pool owners", s.ownerTable())
	s.section(&b, "holds", s.holdTable())
	s.section(&b, "cuts", s.cutTable())
	return b.String()
}

func (s Status) section(b *strings.Builder, title string, t *textTable) {
	if len(t.rows) > 1 {
		fmt.Fprintf(b, "\n%s\n%s", title, t)
	}
}

func (s Status) instanceTable() *textTable {
	t := newTable("INSTANCE", "DATA CENTRE", "ADDRESS", "REVISION", "LOG CONTACT", "LEAVING")
	for _, i := range s.Instances {
		if !i.Answers {
			t.add(i.Name, i.DataCentre, i.Address, "no answer", "", yesNo(i.Leaving))
			continue
		}
		age := time.Duration(i.LogContactAgeMs) * time.Millisecond
		t.add(i.Name, i.DataCentre, i.Address, i.Revision, fmt.Sprintf("%.1f s ago", age.Seconds()), yesNo(i.Leaving))
	}
	return t
}

func (s Status) serverTable() *textTable {
	t := newTable("BACKEND SERVER", "DATA CENTRE", "POOL", "WARMTH", "IN FLIGHT", "LIMIT", "LEAVING", "INSTANCE")
	for _, x := range s.Servers {
		t.add(x.Name, x.DataCentre, x.Pool, x.Warmth, x.InFlight, x.Limit, yesNo(x.Leaving), x.Instance)
	}
	return t
}

func (s Status) queueTable() *textTable {
	t := newTable("POOL", "DATA CENTRE", "CLASS", "WAITING", "INSTANCE")
	for _, x := range s.Queues {
		t.add(x.Pool, x.DataCentre, x.Class, x.Waiting, x.Instance)
	}
	return t
}

func (s Status) ownerTable() *textTable {
	t := newTable("POOL", "DATA CENTRE", "INSTANCE", "TERM", "LEASE VALID")
	for _, x := range s.Owners {
		t.add(x.Pool, x.DataCentre, x.Instance, x.Term, yesNo(x.LeaseValid))
	}
	return t
}

func (s Status) holdTable() *textTable {
	t := newTable("DATA CENTRE", "OPERATOR", "ENDS", "INSTANCES")
	for _, x := range s.Holds {
		t.add(x.DataCentre, x.Operator, x.Ends.Format(time.RFC3339), strings.Join(x.Instances, " "))
	}
	return t
}

func (s Status) cutTable() *textTable {
	t := newTable("INSTANCE", "CAN'T REACH")
	for _, x := range s.Cuts {
		t.add(x.Instance, strings.Join(x.From, " "))
	}
	return t
}
