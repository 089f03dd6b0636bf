package config_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/testing/testutil"
)

// Every part of the platform's file must be read, and each kind of mistake in it must be an error of one line.
func TestParse(t *testing.T) {
	good := fmt.Sprintf(`{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
		"unknown":true,"limits":{"cores":0.5,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		testutil.List(41, true, testutil.Entry("s", "127.0.0.2:9000", "Ready")), testutil.Settings)
	c, err := config.Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Seed != 0x8c1f30d27a5be964 || c.Limits.Sockets != 1024 || *c.CachedEndpoints.Index != 41 ||
		c.Settings.ConnIdleTimeout != 15*time.Second || c.Settings.ConnectTimeout != 2*time.Second {
		t.Errorf("Parse returned %+v, which differs from the file", c)
	}
	for name, change := range map[string][2]string{
		"no JSON":    {`{"name"`, `{name`},
		"listen":     {"127.0.0.4:9000", "everywhere:9000"},
		"port":       {"127.0.0.4:9000", "127.0.0.4:90000"},
		"discovery":  {"127.2.0.1:8500", ""},
		"seed":       {"8c1f30d27a5be964", "chance"},
		"no limits":  {`"limits"`, `"limit"`},
		"cores":      {`"cores":0.5`, `"cores":0`},
		"memory":     {`"memory_mb":192`, `"memory_mb":-1`},
		"sockets":    {`"sockets":1024`, `"sockets":3`},
		"known":      {`"index":41,`, ``},
		"settings":   {`"settings"`, `"setting"`},
		"no classes": {`"Classes"`, `"Class"`},
		"effect":     {`"fragile"`, `"brittle"`},
	} {
		text := strings.Replace(good, change[0], change[1], 1)
		if text == good {
			t.Fatalf("%s: the replacement changes nothing in the file", name)
		}
		if _, err := config.Parse([]byte(text)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("mistake %s: got error %v, want one of a single line", name, err)
		}
	}
}
