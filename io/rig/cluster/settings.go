package cluster

import (
	"encoding/json"
	"os"
	"time"
)

type dialJSON struct {
	Address string `json:"address"`
	Through string `json:"through"`
}

type settingsJSON struct {
	Cluster  clusterJSON  `json:"cluster"`
	VM       vmJSON       `json:"vm"`
	Seeds    []string     `json:"seeds"`
	Control  controlJSON  `json:"control"`
	Targets  targetsJSON  `json:"targets"`
	Limits   limitsJSON   `json:"limits"`
	Timeouts timeoutsJSON `json:"timeouts"`
	Policy   policyJSON   `json:"policy"`
	LogLevel string       `json:"log_level,omitempty"`
}

type clusterJSON struct {
	ID                string `json:"id"`
	SecretFile        string `json:"secret_file"`
	OperatorTokenFile string `json:"operator_token_file"`
}

type vmJSON struct {
	ID              string     `json:"id"`
	Region          string     `json:"region"`
	DataCentre      string     `json:"data_centre"`
	PeerAddress     string     `json:"peer_address"`
	CallerAddress   string     `json:"caller_address"`
	TargetAddress   string     `json:"target_address"`
	OperatorAddress string     `json:"operator_address"`
	DialThrough     []dialJSON `json:"dial_through"`
}

type controlJSON struct {
	DataDir  string   `json:"data_dir,omitempty"`
	Replicas []string `json:"replicas,omitempty"`
}

type targetsJSON struct {
	PermittedNetworks []string `json:"permitted_networks"`
	Lease             string   `json:"lease,omitempty"`
}

type limitsJSON struct {
	QueueWait string `json:"queue_wait,omitempty"`
	Loans     bool   `json:"loans"`
}

type timeoutsJSON struct {
	Drain    string `json:"drain,omitempty"`
	Shutdown string `json:"shutdown,omitempty"`
	Silence  string `json:"silence,omitempty"`
	Commit   string `json:"commit,omitempty"`
}

type policyJSON struct {
	Name        string `json:"name,omitempty"`
	AwayPenalty string `json:"away_penalty,omitempty"`
	ServiceTime string `json:"service_time,omitempty"`
	RampTime    string `json:"ramp_time,omitempty"`
}

// durationSetting returns a duration for the settings; zero is left out.
func durationSetting(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func (c *Cluster) writeSettings(v *VM) error {
	o := c.Options.Settings
	s := settingsJSON{
		Cluster: clusterJSON{ID: "rig", SecretFile: "secret", OperatorTokenFile: "token"},
		VM: vmJSON{
			ID: v.ID, Region: v.Region, DataCentre: v.DataCentre, PeerAddress: v.Peer, CallerAddress: v.Caller,
			TargetAddress: v.Target, OperatorAddress: v.Operator, DialThrough: []dialJSON{},
		},
		Targets:  targetsJSON{PermittedNetworks: []string{"127.0.0.0/8"}, Lease: durationSetting(o.Lease)},
		Limits:   limitsJSON{QueueWait: durationSetting(o.QueueWait), Loans: !c.Options.NoLoans},
		Timeouts: timeoutsJSON{Drain: durationSetting(o.Drain), Shutdown: durationSetting(o.Shutdown), Silence: durationSetting(o.Silence), Commit: durationSetting(o.Commit)},
		Policy: policyJSON{
			Name: c.Options.PolicyName, AwayPenalty: durationSetting(c.Options.AwayPenalty),
			ServiceTime: durationSetting(o.ServiceTime), RampTime: durationSetting(o.RampTime),
		},
		LogLevel: o.LogLevel,
	}
	for _, other := range c.VMs {
		if other.Control {
			s.Control.Replicas = append(s.Control.Replicas, other.ID)
		}
		if other.Control && other != v {
			s.Seeds = append(s.Seeds, other.Peer)
		}
		if l := c.links[pair{v.ID, other.ID}]; l != nil {
			s.VM.DialThrough = append(s.VM.DialThrough, dialJSON{Address: other.Peer, Through: l.Address})
		}
	}
	if v.Control {
		s.Control.DataDir = v.ID + ".data"
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(v.Settings, data, 0o600)
}
