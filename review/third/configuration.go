//go:build review3

package main

import "fmt"

const key = "key-1"

// planner is the service of the model runners in a configuration.
func planner() map[string]any {
	return map[string]any{
		"name": "planner", "healthPath": "/health", "connectionLimit": 360, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0,
		"engine": map[string]any{
			"slots": 64, "kvTokens": 595690, "kvTokenBytes": 35136, "linkMbps": 1500000.0, "moves": true, "backups": true, "stride": 7, "most": 12,
			"pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	}
}

func clientLimits() map[string]any {
	return map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// tenant is the tenant of the clients, with a limit in tokens a second that is its burst, too.
func tenant(limit float64) map[string]any {
	return map[string]any{
		"name": "huka270", "apiKeys": []string{key}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": limit, "burst": limit, "homeRegions": []any{},
	}
}

// promptHeader returns the headers of a request to a model runner. shared and own are the
// tokens of the two parts of its prompt.
func promptHeader(id, counts string, shared, own int) map[string]string {
	return map[string]string{
		"Authorization": "Bearer " + key, "Kingcuprill-Model": "m", "Kingcuprill-Token-Counts": counts,
		"Kingcuprill-Prompt-Prefix": fmt.Sprintf("%x:%d,%x:%d", "shared"+id, shared, "own"+id, own),
	}
}
