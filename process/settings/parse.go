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

// parser checks one value and returns it in its type.
type parser func(value string) (any, error)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func text(value string) (any, error) {
	if strings.TrimSpace(value) == "" {
		return nil, fmt.Errorf("is empty")
	}
	return value, nil
}

func name(value string) (any, error) {
	if !namePattern.MatchString(value) {
		return nil, fmt.Errorf("is not a name of 1 to 63 characters")
	}
	return value, nil
}

func names(value string) (any, error) {
	list := strings.Fields(value)
	if len(list) == 0 {
		return nil, fmt.Errorf("is empty")
	}
	for i, one := range list {
		if _, err := name(one); err != nil {
			return nil, fmt.Errorf("item %q %w", one, err)
		}
		if slices.Contains(list[:i], one) {
			return nil, fmt.Errorf("names %q twice", one)
		}
	}
	return list, nil
}

func ipAddress(value string) (any, error) {
	a, err := netip.ParseAddr(value)
	if err != nil || a.IsUnspecified() || a.IsMulticast() {
		return nil, fmt.Errorf("is not an IP address that other processes can reach")
	}
	return a, nil
}

func address(value string) (any, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		return nil, fmt.Errorf("is not an IP address and port")
	}
	return a, nil
}

func addresses(value string) (any, error) {
	var list []netip.AddrPort
	for _, one := range strings.Fields(value) {
		a, err := address(one)
		if err != nil {
			return nil, fmt.Errorf("item %q %w", one, err)
		}
		if slices.Contains(list, a.(netip.AddrPort)) {
			return nil, fmt.Errorf("lists %q twice", one)
		}
		list = append(list, a.(netip.AddrPort))
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("is empty")
	}
	return list, nil
}

// optionalAddresses accepts an empty list.
func optionalAddresses(value string) (any, error) {
	if strings.TrimSpace(value) == "" {
		return []netip.AddrPort(nil), nil
	}
	return addresses(value)
}

func absolutePath(value string) (any, error) {
	if !filepath.IsAbs(value) {
		return nil, fmt.Errorf("is not an absolute path")
	}
	return filepath.Clean(value), nil
}

func platformURL(value string) (any, error) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return nil, fmt.Errorf("is not an http URL without query and user")
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

func integer(least, most int) parser {
	return func(value string) (any, error) {
		n, err := strconv.Atoi(value)
		if err != nil || n < least || n > most {
			return nil, fmt.Errorf("is not a whole number from %d to %d", least, most)
		}
		return n, nil
	}
}

func number(least, most float64) parser {
	return func(value string) (any, error) {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(n) || n < least || n > most {
			return nil, fmt.Errorf("is not a number from %g to %g", least, most)
		}
		return n, nil
	}
}

func duration(least, most string) parser {
	low, _ := time.ParseDuration(least)
	high, _ := time.ParseDuration(most)
	return func(value string) (any, error) {
		d, err := time.ParseDuration(value)
		if err != nil || d < low || d > high {
			return nil, fmt.Errorf("is not a duration from %s to %s", least, most)
		}
		return d, nil
	}
}
