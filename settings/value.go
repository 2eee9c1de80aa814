package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// value reads and writes one field of Settings as text. Set returns a sentence
// on what is wrong with the text, or "". The sentence quotes the text only where
// it can't hold a secret.
type value struct {
	set    func(text string) string
	format func() string
	// allowed describes the type, unit and range.
	allowed string
}

func integer(field *int, least, most int, unit string) value {
	return value{
		allowed: fmt.Sprintf("integer, %s, %d to %d", unit, least, most),
		format:  func() string { return strconv.Itoa(*field) },
		set: func(text string) string {
			n, err := strconv.Atoi(text)
			if err != nil {
				return "must be an integer"
			}
			if n < least || n > most {
				return fmt.Sprintf("must be from %d to %d %s, not %d", least, most, unit, n)
			}
			*field = n
			return ""
		},
	}
}

func number(field *float64, least, most float64, unit string) value {
	return value{
		allowed: fmt.Sprintf("number, %s, %g to %g", unit, least, most),
		format:  func() string { return strconv.FormatFloat(*field, 'g', -1, 64) },
		set: func(text string) string {
			n, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return "must be a number"
			}
			// The negated form refuses NaN too.
			if !(n >= least && n <= most) {
				return fmt.Sprintf("must be from %g to %g %s, not %g", least, most, unit, n)
			}
			*field = n
			return ""
		},
	}
}

func duration(field *time.Duration, least, most time.Duration) value {
	return value{
		allowed: fmt.Sprintf("duration with unit (ms, s, m), %s to %s", least, most),
		format:  func() string { return field.String() },
		set: func(text string) string {
			d, err := time.ParseDuration(text)
			if err != nil {
				return `must be a duration with a unit, such as "200ms" or "3s"`
			}
			if d < least || d > most {
				return fmt.Sprintf("must be from %s to %s, not %s", least, most, d)
			}
			*field = d
			return ""
		},
	}
}

func choice(field *string, choices ...string) value {
	allowed := strings.Join(choices, ", ")
	return value{
		allowed: "one of " + allowed,
		format:  func() string { return *field },
		set: func(text string) string {
			if !slices.Contains(choices, text) {
				return "must be one of " + allowed
			}
			*field = text
			return ""
		},
	}
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func name(field *string) value {
	return value{
		allowed: "name, 1 to 63 letters, digits, dots, hyphens or underscores, the first a letter or digit",
		format:  func() string { return *field },
		set: func(text string) string {
			if !namePattern.MatchString(text) {
				return "must be 1 to 63 letters, digits, dots, hyphens or underscores, the first a letter or digit"
			}
			*field = text
			return ""
		},
	}
}

func address(field *string) value {
	return value{
		allowed: "IP:port, the IP that others connect to; port 0 to 65535, 0 takes a free one",
		format:  func() string { return *field },
		set: func(text string) string {
			a, err := netip.ParseAddrPort(text)
			if err != nil {
				return `must be an IP and a port, such as "10.0.0.7:8470" or "[::1]:0"`
			}
			// The address is announced to other processes, which can't connect to 0.0.0.0.
			if a.Addr().IsUnspecified() {
				return "must name one IP that others can connect to, not all addresses"
			}
			*field = text
			return ""
		},
	}
}

func baseURL(field *string) value {
	return value{
		allowed: "http or https URL without user, query or fragment",
		format:  func() string { return *field },
		set: func(text string) string {
			u, err := url.Parse(text)
			if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
				return `must be a URL, such as "http://10.0.0.1:9000"`
			}
			if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
				return "must have no user, password, query or fragment, since settings are logged"
			}
			*field = text
			return ""
		},
	}
}

// maxPath is the longest path that Linux takes, in bytes.
const maxPath = 4095

func path(field *string) value {
	return value{
		allowed: "path, up to 4095 bytes",
		format:  func() string { return *field },
		set: func(text string) string {
			if strings.ContainsAny(text, "\n\r\x00") || strings.Contains(text, "-----BEGIN") {
				return "must be the path of a file, not its content"
			}
			if len(text) > maxPath {
				return "must be a path of at most 4095 bytes"
			}
			*field = text
			return ""
		},
	}
}
