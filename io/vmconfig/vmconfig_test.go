package vmconfig

import (
	"strings"
	"testing"
	"time"
)

const valid = `{"vm":{"id":"a","region":"r","data_centre":"d","peer_address":"10.0.0.1:7600","dial_through":[{"address":"10.0.0.2:7600","through":"10.0.0.9:1"}]},
"control":{"seeds":["10.0.0.1:80"],"peer_port":7600,"failures":1,"heartbeat_ms":1200},
"limits":{"memory_mb":284,"revoke_ms":5000,"grace_s":8,"retry_ratio":0.2,"retry_slack":52,"directory_ttl_s":5},"unknown":1}`

func TestParse(t *testing.T) {
	c, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if c.Replicas != 3 || c.Heartbeat != 1200*time.Millisecond || c.Seeds[0] != "10.0.0.1:7600" || c.MemoryBytes != 284<<20 || c.DialThrough[0].Through != "10.0.0.9:1" {
		t.Errorf("settings are %+v", c)
	}
}

func TestFaults(t *testing.T) {
	tests := map[string][2]string{
		`vm.id`:                          {`"id":"a"`, `"id":""`},
		`control.seeds.0: "here"`:        {`10.0.0.1:80`, `here`},
		`control.heartbeat_ms: -1`:       {`1200`, `-1`},
		`limits.memory_mb: 0`:            {`284`, `0`},
		`control.failures: -2`:           {`"failures":1`, `"failures":-2`},
		`limits.newest_ms: -1`:           {`"grace_s"`, `"newest_ms":-1,"grace_s"`},
		`limits.link_mbps: -1`:           {`"grace_s"`, `"link_mbps":-1,"grace_s"`},
		`vm.dial_through.0.through: "9"`: {`10.0.0.9:1`, `9`},
		`not valid JSON`:                 {`{"vm"`, `{vm`},
	}
	for want, change := range tests {
		_, err := Parse([]byte(strings.Replace(valid, change[0], change[1], 1)))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
}

// Settings of an earlier release don't name the time in which a change must be in force.
func TestNewestWithin(t *testing.T) {
	for text, want := range map[string]time.Duration{valid: 3 * time.Second, strings.Replace(valid, `"grace_s"`, `"newest_ms":2500,"grace_s"`, 1): 2500 * time.Millisecond} {
		if c, err := Parse([]byte(text)); err != nil || c.NewestWithin != want {
			t.Errorf("%v, error %v, want %v", c.NewestWithin, err, want)
		}
	}
}

// Settings without the switch keep requests in their region until it is full.
func TestByRegion(t *testing.T) {
	for text, want := range map[string]bool{valid: false, strings.Replace(valid, `"limits"`, `"placement":{"by_region":true},"limits"`, 1): true} {
		if c, err := Parse([]byte(text)); err != nil || c.ByRegion != want {
			t.Errorf("%v, error %v, want %v", c.ByRegion, err, want)
		}
	}
}

// Guards against settings of an earlier release that turn the bound on the link on, and against
// megabits that are taken for megabytes.
func TestLinkRate(t *testing.T) {
	for text, want := range map[string]float64{valid: 0, strings.Replace(valid, `"grace_s"`, `"link_mbps":7.5,"grace_s"`, 1): 937_500} {
		if c, err := Parse([]byte(text)); err != nil || c.LinkRate != want {
			t.Errorf("%v bytes per second, error %v, want %v", c.LinkRate, err, want)
		}
	}
}
