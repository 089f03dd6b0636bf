// Package units provides types for settings that TOML has no types for: durations and sizes, which the operator's configuration file gives
// with their units.
package units

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration written as "250ms", "1.5s" or "2m". It cannot be negative.
type Duration time.Duration

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

func (d Duration) String() string {
	s := time.Duration(d).String() // such as "1h0m0s", which is shortened to "1h"
	if strings.HasSuffix(s, "m0s") {
		s = s[:len(s)-2]
	}
	if strings.HasSuffix(s, "h0m") {
		s = s[:len(s)-2]
	}
	return s
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil || duration < 0 {
		return fmt.Errorf(`%q is not a duration of at least 0s, such as "250ms" or "1.5s"`, text)
	}
	*d = Duration(duration)
	return nil
}

// Size is a number of bytes, written with one of the units B, KiB, MiB and GiB.
type Size int64

// The units of a Size.
const (
	KiB Size = 1 << 10
	MiB Size = 1 << 20
	GiB Size = 1 << 30
)

// sizeUnits are the units of sizes, the largest first.
var sizeUnits = []struct {
	name  string
	bytes Size
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// Bytes returns the size as an int.
func (s Size) Bytes() int { return int(s) }

func (s Size) String() string {
	for _, u := range sizeUnits {
		if s >= u.bytes && s%u.bytes == 0 {
			return strconv.FormatInt(int64(s/u.bytes), 10) + u.name
		}
	}
	return "0B"
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts fractions of a unit, such as "1.5MiB", and cuts off fractions of a byte.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if bytes := value * float64(u.bytes); err == nil && bytes >= 0 && bytes < math.MaxInt64 {
			*s = Size(bytes)
			return nil
		}
		break
	}
	return fmt.Errorf(`%q is not a size in B, KiB, MiB or GiB, such as "64KiB" or "192MiB"`, text)
}
