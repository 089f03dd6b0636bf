package config

import (
	"fmt"
	"strings"
)

// Problem is one mistake in a configuration. Line and Column count from 1; 0: it has no place, as in the platform's file.
type Problem struct {
	Key, Reason  string
	Line, Column int
}

func (p Problem) Error() string {
	if p.Line == 0 {
		return p.Key + ": " + p.Reason
	}
	return fmt.Sprintf("%d:%d: %s: %s", p.Line, p.Column, p.Key, p.Reason)
}

// Problems is all that is wrong with a configuration; as an error it is one line.
type Problems []Problem

func (p Problems) Error() string {
	switch len(p) {
	case 0:
		return "no problem"
	case 1:
		return p[0].Error()
	}
	return fmt.Sprintf("%v (and %d more; \"orchiddrift check\" lists them)", p[0], len(p)-1)
}

// oneLine is an error's text as one line, whatever stands in the file that it speaks of.
func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }
