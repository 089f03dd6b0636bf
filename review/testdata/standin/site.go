package main

import (
	_ "embed" // for siteText
	"encoding/json"
)

//go:embed site.json
var siteText []byte

// site has the request classes of the site that the cases play.
type site struct {
	Search, Map, Confirm, Record class
}

// theSite returns the site's classes.
func theSite() site {
	var s site
	if err := json.Unmarshal(siteText, &s); err != nil {
		panic(err) // the file is a part of the program
	}
	return s
}
