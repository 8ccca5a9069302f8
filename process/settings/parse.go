package settings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// parser converts the text of one value to the type of its key. Its error completes
// a sentence that begins with the key and its value, such as "is empty".
type parser func(value string) (any, error)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func parseText(value string) (any, error) {
	if strings.TrimSpace(value) == "" {
		return nil, fmt.Errorf("is empty")
	}
	return value, nil
}

func parseName(value string) (any, error) {
	if !namePattern.MatchString(value) {
		return nil, fmt.Errorf("is not a name of 1 to 63 characters")
	}
	return value, nil
}

func parseNames(value string) (any, error) {
	list := strings.Fields(value)
	if len(list) == 0 {
		return nil, fmt.Errorf("is empty")
	}
	for i, item := range list {
		if _, err := parseName(item); err != nil {
			return nil, fmt.Errorf("item %q %w", item, err)
		}
		if slices.Contains(list[:i], item) {
			return nil, fmt.Errorf("names %q twice", item)
		}
	}
	return list, nil
}

func parseIPAddress(value string) (any, error) {
	a, err := netip.ParseAddr(value)
	if err != nil || a.IsUnspecified() || a.IsMulticast() {
		return nil, fmt.Errorf("is not an IP address that other processes can reach")
	}
	return a, nil
}

func parseAddress(value string) (any, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		return nil, fmt.Errorf("is not an IP address and port")
	}
	return a, nil
}

func parseAddresses(value string) (any, error) {
	var list []netip.AddrPort
	for _, item := range strings.Fields(value) {
		a, err := parseAddress(item)
		if err != nil {
			return nil, fmt.Errorf("item %q %w", item, err)
		}
		if slices.Contains(list, a.(netip.AddrPort)) {
			return nil, fmt.Errorf("lists %q twice", item)
		}
		list = append(list, a.(netip.AddrPort))
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("is empty")
	}
	return list, nil
}

// parseOptionalAddresses accepts an empty list.
func parseOptionalAddresses(value string) (any, error) {
	if strings.TrimSpace(value) == "" {
		return []netip.AddrPort(nil), nil
	}
	return parseAddresses(value)
}

func parseAbsolutePath(value string) (any, error) {
	if !filepath.IsAbs(value) {
		return nil, fmt.Errorf("is not an absolute path")
	}
	return filepath.Clean(value), nil
}

func parsePlatformURL(value string) (any, error) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return nil, fmt.Errorf("is not an http or https URL without user, query and fragment")
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return nil, fmt.Errorf("has no IP address as its host")
	}
	return strings.TrimSuffix(value, "/"), nil
}

func oneOf(allowed ...string) parser {
	return func(value string) (any, error) {
		if !slices.Contains(allowed, value) {
			return nil, fmt.Errorf("is not one of %s", strings.Join(allowed, ", "))
		}
		return value, nil
	}
}

func integerBetween(minimum, maximum int) parser {
	return func(value string) (any, error) {
		n, err := strconv.Atoi(value)
		if err != nil || n < minimum || n > maximum {
			return nil, fmt.Errorf("is not a whole number from %d to %d", minimum, maximum)
		}
		return n, nil
	}
}

// zeroOrIntegerBetween allows 0 besides the whole numbers from minimum to maximum.
func zeroOrIntegerBetween(minimum, maximum int) parser {
	between := integerBetween(minimum, maximum)
	return func(value string) (any, error) {
		if value == "0" {
			return 0, nil
		}
		return between(value)
	}
}

func numberBetween(minimum, maximum float64) parser {
	return func(value string) (any, error) {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(n) || n < minimum || n > maximum {
			return nil, fmt.Errorf("is not a number from %g to %g", minimum, maximum)
		}
		return n, nil
	}
}

func durationBetween(minimum, maximum string) parser {
	low, _ := time.ParseDuration(minimum)
	high, _ := time.ParseDuration(maximum)
	return func(value string) (any, error) {
		d, err := time.ParseDuration(value)
		if err != nil || d < low || d > high {
			return nil, fmt.Errorf("is not a duration from %s to %s", minimum, maximum)
		}
		return d, nil
	}
}
