package config

import (
	"fmt"
	"strings"

	"orchiddrift/internal/tomlfile"
)

// Problem is one mistake in a configuration. Line and Column count from 1; they are 0 if unknown, as in the platform's file.
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

// Problems lists all mistakes in a configuration. Its error text is one line with the first problem and the number of the others.
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

// oneLine returns an error's text as one line. The text may quote lines of the file.
func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

// problemsOf returns the problems of an operator's file as an error, or nil if there are none.
func problemsOf(document *tomlfile.Document) error {
	mistakes := document.Problems()
	if len(mistakes) == 0 {
		return nil
	}
	problems := make(Problems, len(mistakes))
	for i, mistake := range mistakes {
		problems[i] = Problem{Key: mistake.Key, Reason: mistake.Reason, Line: mistake.Line, Column: mistake.Column}
	}
	return problems
}
