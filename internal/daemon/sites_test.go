package daemon

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"orchiddrift/internal/config"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// site is a deployment described by a file of deploy/sites, with the fields that determine its sidecars' settings.
type site struct {
	Name string
	Day  struct {
		Tick float64 `toml:"tick_ms"`
	}
	Load struct {
		WorthBy string `toml:"worth_by"`
	}
	Net     struct{ Zones []string }
	Clients struct {
		MaxRetryAfter float64 `toml:"max_retry_after_ms"`
	}
	Discovery struct{ Mode string }
	Allow     struct {
		Probes       bool
		Cancel       bool
		SecondCopies bool `toml:"second_copies"`
		RetryAfter   bool `toml:"retry_after"`
		MaxAttempts  int  `toml:"max_attempts"`
	}
	Rules struct {
		Grace    float64 `toml:"drain_grace_ms"`
		Multiple float64 `toml:"fall_multiple"`
		Fall     float64 `toml:"fall_ms"`
	}
	Prices struct {
		CrossZone float64 `toml:"cross_zone"`
	}
	Tier []struct {
		Conn struct {
			Idle    float64 `toml:"idle_s"`
			Connect float64 `toml:"connect_timeout_ms"`
		}
		Kind []struct {
			Name     string
			ColdFrom []float64 `toml:"cold_from"`
			Cold     []float64 `toml:"cold_s"`
		}
	}
	Class []struct {
		Name     string
		Aim      float64 `toml:"aim_ms"`
		Deadline float64 `toml:"deadline_ms"`
		Worth    float64
		Late     float64 `toml:"late_worth"`
		Effect   string
		Group    string
		Window   float64 `toml:"window_ms"`
	}
	Tenant []struct {
		Name  string
		Share float64
	}
}

// sites returns the deployments of deploy/sites by file name.
func sites(t *testing.T) map[string]site {
	t.Helper()
	files, err := filepath.Glob("../../deploy/sites/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("%v, %v", files, err)
	}
	byFile := map[string]site{}
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var s site
		if err := toml.Unmarshal(text, &s); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		byFile[filepath.Base(path)] = s
	}
	return byFile
}

// semanticsByEffect maps a class's effect in the operator's file to its semantics in the platform's settings.
var semanticsByEffect = map[string]string{"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}

// settings returns the platform's settings for a sidecar of the site.
func (s *site) settings(sidecars int) map[string]any {
	var classes []any
	for _, c := range s.Class {
		classes = append(classes, map[string]any{"Name": c.Name, "Semantics": semanticsByEffect[c.Effect], "KeyScope": c.Group, "DedupWindowMs": c.Window,
			"AimMs": c.Aim, "DeadlineMs": c.Deadline, "Importance": c.Worth, "LateShare": c.Late})
	}
	var tenants []any
	for _, x := range s.Tenant {
		tenants = append(tenants, map[string]any{"Name": x.Name, "Fraction": x.Share})
	}
	kind, conn := s.Tier[0].Kind[0], s.Tier[0].Conn
	return map[string]any{"Balancers": sidecars, "Classes": classes, "Tenants": tenants, "Discovery": s.Discovery.Mode, "TickMs": s.Day.Tick,
		"WorthBy": s.Load.WorthBy, "Zone": s.Net.Zones[0], "OverShareWorth": 0.1, "Prices": map[string]any{"CrossZone": s.Prices.CrossZone},
		"Limits": map[string]any{"Cancelling": s.Allow.Cancel, "Probes": s.Allow.Probes, "RetryAfter": s.Allow.RetryAfter, "SecondCopies": s.Allow.SecondCopies,
			"SendCap": s.Allow.MaxAttempts, "ConnectTimeoutMs": conn.Connect, "ConnIdleMs": conn.Idle * 1000, "MaxRetryAfterMs": s.Clients.MaxRetryAfter},
		"Rules": map[string]any{"ColdFrom": kind.ColdFrom[0], "WarmUpMs": kind.Cold[1] * 1000, "FallMs": s.Rules.Fall, "FallMultiple": s.Rules.Multiple,
			"MustAskInMs": 9000, "DrainGraceMs": s.Rules.Grace}}
}

// config returns a sidecar's configuration as JSON.
func (s *site) config(t *testing.T, settings map[string]any, discovery string, sockets int, known ...string) []byte {
	t.Helper()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:9000", "discovery": discovery, "seed": "1f",
		"limits": map[string]any{"cores": 0.5, "memory_mb": 32, "sockets": sockets}, "known": json.RawMessage(testutil.List(1, true, known...)), "settings": settings})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Guards against code that works for one deployment only. For each site, a daemon starts with the site's settings and few file descriptors.
// Whether and how often a request is retried, its deadline and the Retry-After of a rejection follow the settings of its class.
func TestEachDeploymentsSettingsCount(t *testing.T) {
	for file, s := range sites(t) {
		t.Run(file, func(t *testing.T) {
			upstream := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
				switch g.Header.Get("X-What") {
				case "break":
					return false
				case "not processed":
					return fakes.Says("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")(c, g)
				}
				return fakes.Says(fakes.OK200(g.Target))(c, g)
			})
			endpoint := strings.Replace(testutil.Entry("s", upstream.Address, "Ready"), `"zone":"a"`, fmt.Sprintf(`"zone":%q`, s.Net.Zones[0]), 1)
			c, err := config.Parse(s.config(t, s.settings(1), testutil.Quiet(t).Address, 96, endpoint))
			if err != nil {
				t.Fatal(err)
			}
			r := start(t, c, "127.0.0.1:0")
			request := func(class, effect, fault string) (*http.Response, int) { // the answer, and the number of attempts
				t.Helper()
				before := len(upstream.Requests())
				req := testutil.Request(t, r.address, class, "")
				req.Method = http.MethodPost
				if effect == "safe" {
					req.Method = http.MethodGet
				}
				req.Header.Del("Idempotency-Key")
				req.Header.Del("X-Timeout")
				if effect == "keyed" {
					req.Header.Set("Idempotency-Key", "k"+req.Header.Get("X-Request-ID"))
				}
				req.Header.Set("X-What", fault)
				resp, _ := r.do(t, req)
				return resp, len(upstream.Requests()) - before
			}
			for _, class := range s.Class {
				if resp, n := request(class.Name, class.Effect, ""); resp.StatusCode != 200 || n != 1 {
					t.Errorf("class %s: got %s after %d attempts, want 200 after 1", class.Name, resp.Status, n)
				}
				got := upstream.Requests()[len(upstream.Requests())-1].Header.Get("X-Timeout")
				var us int64
				if _, err := fmt.Sscanf(got, "%du", &us); err != nil || float64(us) > class.Deadline*1000 || float64(us) < class.Deadline*1000/2 {
					t.Errorf("class %s: the upstream got X-Timeout %s for a deadline of %v ms, want a value in us from half of the deadline up to the deadline", class.Name, got, class.Deadline)
				}
				resp, n := request(class.Name, class.Effect, "not processed")
				if resp.StatusCode != 503 || n < 1 || n > s.Allow.MaxAttempts || (resp.Header.Get("Retry-After") != "") != s.Allow.RetryAfter {
					t.Errorf("class %s, rejected by the upstream: got %s with Retry-After %q after %d attempts, want 503, and Retry-After and attempts as the site allows",
						class.Name, resp.Status, resp.Header.Get("Retry-After"), n)
				}
				if resp, n := request(class.Name, class.Effect, "break"); class.Effect == "unsafe" && (n != 1 || resp.StatusCode != http.StatusBadGateway) ||
					n > s.Allow.MaxAttempts {
					t.Errorf("class %s, connection broken by the upstream: got %s after %d attempts, want 502 after 1 for an unsafe class, else attempts as the site allows",
						class.Name, resp.Status, n)
				}
			}
			if resp, n := request("search", "safe", ""); resp.StatusCode != http.StatusNotFound || n != 0 { // a class of another deployment
				t.Errorf("a class that the site does not have: got %s after %d attempts, want 404 after 0", resp.Status, n)
			}
		})
	}
}

// Guards against invalid settings that are noticed only under traffic. Each invalid setting must cause an error of one line when the
// configuration is parsed.
func TestABadSettingOfADeploymentIsOneLine(t *testing.T) {
	for file, s := range sites(t) {
		for name, breakSettings := range map[string]func(o map[string]any){
			"Semantics":    func(o map[string]any) { o["Classes"].([]any)[0].(map[string]any)["Semantics"] = "often\nand often" },
			"KeyScope":     func(o map[string]any) { o["Classes"].([]any)[1].(map[string]any)["KeyScope"] = "planet" },
			"Deadline":     func(o map[string]any) { o["Classes"].([]any)[0].(map[string]any)["DeadlineMs"] = -1 },
			"Tick":         func(o map[string]any) { o["TickMs"] = -1 },
			"ColdFrom":     func(o map[string]any) { o["Rules"].(map[string]any)["ColdFrom"] = 7 },
			"MaxAttempts":  func(o map[string]any) { o["Limits"].(map[string]any)["SendCap"] = -1 },
			"Zone":         func(o map[string]any) { o["Zone"] = 4 },
			"ConnIdle":     func(o map[string]any) { o["Limits"].(map[string]any)["ConnIdleMs"] = -5 },
			"FallMultiple": func(o map[string]any) { o["Rules"].(map[string]any)["FallMultiple"] = -2 },
		} {
			o := s.settings(1)
			breakSettings(o)
			_, err := config.Parse(s.config(t, o, "127.0.0.1:1", 96))
			if err == nil || strings.ContainsAny(err.Error(), "\r\n") {
				t.Errorf("configuration of %s with an invalid %s: got error %v, want an error of one line", file, name, err)
			}
		}
	}
}

// Guards against names of a deployment's classes, tenants, zones or machine types that are hard-coded in the program or in
// deploy/balancer.toml. All of these names must come from the settings.
func TestNoDeploymentStandsInTheProgram(t *testing.T) {
	siteOfName := map[string]string{}
	for file, s := range sites(t) {
		for _, c := range s.Class {
			siteOfName[c.Name] = file
		}
		for _, x := range s.Tenant {
			siteOfName[x.Name] = file
		}
		for _, k := range s.Tier[0].Kind {
			siteOfName[k.Name] = file
		}
		for _, z := range s.Net.Zones {
			siteOfName[z] = file
		}
		siteOfName[s.Name] = file
	}
	for _, class := range []string{"seat-search", "coach-map", "confirm-booking", "payment-record", "status-read", "history-read", "delivery-confirm", "pickup-register"} {
		siteOfName[class] = "a customer's site"
	}
	quoted := regexp.MustCompile("[\"`]([a-z][a-z0-9-]*)[\"`]")
	checkFile := func(path string) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range quoted.FindAllStringSubmatch(string(text), -1) {
			if owner, found := siteOfName[m[1]]; found && strings.Contains(m[1], "-") {
				t.Errorf("%s hard-codes the name %q of %s", path, m[1], owner)
			}
		}
	}
	checkFile("../../deploy/balancer.toml")
	err := filepath.WalkDir("../..", func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			switch d.Name() {
			case ".git", "bin", "journal", "demo", "measure": // the demo and the benchmarks define deployments of their own
				return filepath.SkipDir
			}
			return nil
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			checkFile(path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
