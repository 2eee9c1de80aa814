package console

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"lycheecrank.example/platform"
	"lycheecrank.example/route"
)

// The exit codes of the check of a configuration, which differ from those of the other
// commands so that a script can tell warnings from errors.
const (
	CheckClean    Code = 0
	CheckWarnings Code = 1
	CheckErrors   Code = 2
)

// Checked is the result of the check of a configuration of the users' platform.
type Checked struct {
	File     string         `json:"file"`
	Errors   int            `json:"errors"`
	Warnings int            `json:"warnings"`
	Findings route.Findings `json:"findings"`
	// Against is the name of the active configuration, empty if there is none to compare.
	Against string `json:"against,omitempty"`
	// Differences is nil if there is nothing to compare or the file can't be decoded.
	Differences []route.Difference `json:"differences"`
}

// CheckConfiguration checks a configuration and, if active is not nil, compares it with
// the active one. It returns ErrUsage if the active one can't be read.
func CheckConfiguration(file NamedFile, active *NamedFile) (Checked, error) {
	text := platform.ReadConfigurationText(file.Data)
	checked := Checked{File: file.Name, Findings: text.Findings()}
	if active != nil {
		// The findings on the active configuration are left out: it can't be changed any more.
		former := platform.ReadConfigurationText(active.Data)
		if !former.IsReadable() {
			return Checked{}, eris.Wrapf(ErrUsage, "%s is no configuration that an instance can adopt; check it by itself", active.Name)
		}
		checked.Against = active.Name
		checked.Findings = append(checked.Findings, text.UpdateFindings(former)...).ByLine()
		if text.IsReadable() {
			checked.Differences = text.Differences(former)
		}
	}
	checked.Errors, checked.Warnings = checked.Findings.Count(route.Error), checked.Findings.Count(route.Warning)
	return checked, nil
}

// Code returns the exit code for the result.
func (c Checked) Code() Code {
	switch {
	case c.Errors > 0:
		return CheckErrors
	case c.Warnings > 0:
		return CheckWarnings
	}
	return CheckClean
}

// Text returns the result for people: a line for each finding as FILE:LINE: SEVERITY: KEY:
// PROBLEM, the differences, and the number of findings.
func (c Checked) Text() string {
	var b strings.Builder
	for _, f := range c.Findings {
		place := c.File
		if f.Line > 0 {
			place = fmt.Sprintf("%s:%d", c.File, f.Line)
		}
		parts := []string{place, f.Severity.String()}
		if f.Path != "" {
			parts = append(parts, string(f.Path))
		}
		fmt.Fprintln(&b, cell(strings.Join(append(parts, f.Problem), ": ")+details(f)))
	}
	switch {
	case c.Against != "" && c.Differences == nil:
		fmt.Fprintf(&b, "differences from %s: unknown, since the file can't be decoded\n", c.Against)
	case c.Against != "":
		fmt.Fprintf(&b, "differences from %s:\n", c.Against)
		for _, d := range c.Differences {
			writeDifference(&b, d)
		}
		if len(c.Differences) == 0 {
			fmt.Fprintln(&b, "  none")
		}
	}
	fmt.Fprintf(&b, "%s, %s\n", counted(c.Errors, "error"), counted(c.Warnings, "warning"))
	return b.String()
}

// writeDifference writes a part with its changed fields, or with all of them if it is
// added. The fields of a removed part are left out, since all of them are gone.
func writeDifference(b *strings.Builder, d route.Difference) {
	fmt.Fprintf(b, "  %s %s\n", d.Action, cell(d.Part))
	for _, x := range d.Fields {
		switch d.Action {
		case route.Added:
			fmt.Fprintf(b, "    %s: %s\n", cell(x.Field), cell(x.After))
		case route.Changed:
			fmt.Fprintf(b, "    %s: %s -> %s\n", cell(x.Field), orNone(cell(x.Before)), orNone(cell(x.After)))
		}
	}
}

// details returns the value of a finding and what is allowed, as far as they are known.
func details(f route.Finding) string {
	var details []string
	if f.Value != "" {
		details = append(details, "got "+f.Value)
	}
	if f.Allowed != "" {
		details = append(details, "allowed: "+f.Allowed)
	}
	if len(details) == 0 {
		return ""
	}
	return " (" + strings.Join(details, "; ") + ")"
}

func counted(count int, what string) string {
	if count == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", count, what)
}
