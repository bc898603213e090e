package inifile

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Text returns a string, which must not be empty if the key is present.
func (s *Section) Text(key, fallback string) string {
	e, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	if e.value == "" {
		s.Fail(key, "empty value", "a text")
	}
	return e.value
}

// Secret returns a string of at least minBytes bytes without spaces. Messages about it
// omit the value, since they end up in logs and tickets.
func (s *Section) Secret(key, fallback string, minBytes int) string {
	e, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	if len(e.value) < minBytes || strings.ContainsAny(e.value, " \t") {
		s.decoder.addProblem(&Problem{Line: e.line, Section: s.Name, Key: key, Reason: "unfit secret",
			Allowed: fmt.Sprintf("at least %d characters without spaces", minBytes)})
	}
	return e.value
}

// Ident returns a name of letters, digits, '_', '.' and '-'.
func (s *Section) Ident(key, fallback string) string {
	e, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	if !validName(e.value, ".-") {
		s.Fail(key, "bad name", "letters, digits, '_', '.' and '-'")
	}
	return e.value
}

// Idents returns a list of names, separated by commas.
func (s *Section) Idents(key string) []string {
	e, ok := s.lookup(key)
	if !ok || e.value == "" {
		return nil
	}
	list := SplitList(e.value)
	for _, name := range list {
		if !validName(name, ".-") {
			s.Fail(key, fmt.Sprintf("%q is not a name", name), "names of letters, digits, '_', '.' and '-', separated by commas")
		}
	}
	return list
}

// Enum returns one of the allowed values.
func (s *Section) Enum(key, fallback string, allowed ...string) string {
	e, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	if !slices.Contains(allowed, e.value) {
		s.Fail(key, "unknown value", strings.Join(allowed, ", "))
		return fallback
	}
	return e.value
}

// Bool returns a boolean, spelled true or false; no other spellings are accepted.
func (s *Section) Bool(key string, fallback bool) bool {
	return s.Enum(key, strconv.FormatBool(fallback), "true", "false") == "true"
}

// Int returns an integer in [low, high].
func (s *Section) Int(key string, fallback, low, high int) int {
	e, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(e.value)
	return check(s, key, n, err, fallback, low, high, "whole number", strconv.Itoa)
}

// Float returns a number in [low, high].
func (s *Section) Float(key string, fallback, low, high float64) float64 {
	e, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	x, err := strconv.ParseFloat(e.value, 64)
	if math.IsNaN(x) {
		err = strconv.ErrSyntax
	}
	return check(s, key, x, err, fallback, low, high, "number", formatFloat)
}

// Share returns a fraction strictly between 0 and 1. A fallback of 0 can thus mean that
// the key is absent.
func (s *Section) Share(key string, fallback float64) float64 {
	e, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	x, err := strconv.ParseFloat(e.value, 64)
	const allowed = "a share above 0 and below 1, like 0.99"
	switch {
	case err != nil || math.IsNaN(x):
		s.Fail(key, "not a share", allowed)
	case x <= 0 || x >= 1:
		s.Fail(key, "out of range", allowed)
	default:
		return x
	}
	return fallback
}

// Duration returns a duration in [low, high], written like 250ms, 10s or 1h30m.
func (s *Section) Duration(key string, fallback, low, high time.Duration) time.Duration {
	e, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(e.value)
	return check(s, key, d, err, fallback, low, high, "duration", FormatDuration)
}

// Size returns a size in bytes in [low, high], written like 512, 64KiB or 1GiB.
func (s *Section) Size(key string, fallback, low, high int64) int64 {
	e, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	n, err := ParseSize(e.value)
	return check(s, key, n, err, fallback, low, high, "size", FormatSize)
}

// Address returns an IP:PORT. Port 0 is refused unless anyPort is set.
func (s *Section) Address(key, fallback string, anyPort bool) string {
	e, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	if !validAddress(e.value, anyPort) {
		s.Fail(key, "not an address", "IP:PORT, like 127.0.0.1:8080")
	}
	return e.value
}

// Addresses returns a list of IP:PORT, separated by commas.
func (s *Section) Addresses(key string) []string {
	e, ok := s.lookup(key)
	if !ok || e.value == "" {
		return nil
	}
	list := SplitList(e.value)
	for _, address := range list {
		if !validAddress(address, false) {
			s.Fail(key, fmt.Sprintf("%q is not an address", address), "IP:PORT, IP:PORT, ...")
		}
	}
	return list
}

// URL returns a base URL http://IP:PORT without a path. A trailing slash is removed.
func (s *Section) URL(key, fallback string) string {
	e, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	base, valid := CleanURL(e.value)
	if !valid {
		s.Fail(key, "not a URL", "http://IP:PORT")
	}
	return base
}

// CleanURL removes the trailing slash of a base URL http://IP:PORT and reports whether
// text is one.
func CleanURL(text string) (string, bool) {
	trimmed := strings.TrimSuffix(text, "/")
	u, err := url.Parse(trimmed)
	if err != nil || u.Scheme != "http" || !validAddress(u.Host, false) {
		return trimmed, false
	}
	return trimmed, trimmed == "http://"+u.Host
}

// SplitList splits a comma-separated list and trims spaces from its parts.
func SplitList(text string) []string {
	parts := strings.Split(text, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

// ValidName reports whether text is a name of letters, digits, '_', '.' and '-'.
func ValidName(text string) bool { return validName(text, ".-") }

// ValidAddress reports whether text is IP:PORT with a port above 0.
func ValidAddress(text string) bool { return validAddress(text, false) }

func validAddress(text string, anyPort bool) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && (anyPort || address.Port() != 0)
}

// check returns value. If err is set or value is not in [low, high], it records a
// problem and returns the fallback instead.
func check[T int | int64 | float64 | time.Duration](
	s *Section, key string, value T, err error, fallback, low, high T, kind string, format func(T) string,
) T {
	allowed := fmt.Sprintf("%s from %s to %s", kind, format(low), format(high))
	switch {
	case err != nil:
		s.Fail(key, "not a "+kind, allowed)
	case value < low || value > high:
		s.Fail(key, "out of range", allowed)
	default:
		return value
	}
	return fallback
}

func formatFloat(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }
