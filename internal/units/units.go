// Package units holds the value types of the operator's file that TOML has none for: durations and sizes written with
// their unit. Subsystems declare their settings with them.
package units

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is written as Go writes durations: "250ms", "1.5s", "2m". Negative ones are not taken.
type Duration time.Duration

// D is the same as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

func (d Duration) String() string {
	s := time.Duration(d).String() // "1h0m0s", "2m0s": nobody writes those
	if strings.HasSuffix(s, "m0s") {
		s = s[:len(s)-2]
	}
	if strings.HasSuffix(s, "h0m") {
		s = s[:len(s)-2]
	}
	return s
}

// MarshalText is String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads it.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf(`%q is no duration, such as "250ms" or "1.5s"`, text)
	}
	*d = Duration(v)
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

var sizes = []struct {
	name string
	of   Size
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// Bytes is the same as an int.
func (s Size) Bytes() int { return int(s) }

func (s Size) String() string {
	for _, u := range sizes {
		if s >= u.of && s%u.of == 0 {
			return strconv.FormatInt(int64(s/u.of), 10) + u.name
		}
	}
	return "0B"
}

// MarshalText is String.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads it. Parts of a unit are taken, "1.5MiB"; parts of a byte are cut off.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizes {
		number, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if bytes := v * float64(u.of); err == nil && bytes >= 0 && bytes < math.MaxInt64 {
			*s = Size(bytes)
			return nil
		}
		break
	}
	return fmt.Errorf(`%q is no size, such as "64KiB" or "192MiB"`, text)
}
