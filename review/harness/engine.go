//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// engineDocument is a configuration with one engine service and a streaming route.
func engineDocument(version int, service string) []byte {
	d := map[string]any{
		"version": version, "limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"routes": []map[string]any{{
			"name": "r-0", "host": host, "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 1000, "priority": 1,
			"service": service, "attempts": 1, "anonymous": false, "sticky": true, "canResume": false, "targetGapMs": 400, "homeRegions": []string{},
		}},
		"services": []map[string]any{{
			"name": service, "healthPath": "/health", "connectionLimit": 360, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 3.3,
			"engine": map[string]any{"slots": 64, "kvTokens": 615829, "kvTokenBytes": 35136, "linkMbps": 1500000.0, "moves": true, "backups": true, "stride": 7, "most": 12,
				"pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}}},
		}},
		"tenants": []map[string]any{{"name": "t1", "apiKeys": []string{"k1"}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 5128160, "burst": 5128160, "homeRegions": []string{}}},
	}
	data, err := json.Marshal(d)
	must(err)
	return data
}

// streamAfter returns a handler that answers with three events after a while.
func streamAfter(r *runner, wait time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		select {
		case <-time.After(wait):
		case <-request.Context().Done():
			return
		}
		w.Header().Set("Kingcuprill-Response-Seal", "seal-"+r.id)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 3; i++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// generate sends a generation request with a shared prompt part of its own family.
func (w *world) generate(to *machine, family int) (code int, id string) {
	id = fmt.Sprintf("%016x", 0xa000000000000000+uint64(requestIDs.Add(1)))
	header := map[string]string{
		"Host": host, "Kingcuprill-Attempt-Id": id, "Kingcuprill-Time-Remaining": "12000", "Authorization": "Bearer k1", "Kingcuprill-Model": "m",
		"Kingcuprill-Token-Counts": "12000,385", "Kingcuprill-Prompt-Prefix": fmt.Sprintf("%08x:5382,%08x:6618", 0x5c100000+family, 0x0b000000+requestIDs.Load()),
	}
	w.note("client sends %s /a/x to %s", id, to.name)
	code, answer := callOnce(http.MethodPost, "http://"+to.at(frontPort)+"/a/x", []byte("plan"), 13*time.Second, header)
	w.note("client gets %d for %s: %.40q", code, id, strings.TrimSpace(string(answer)))
	return code, id
}
