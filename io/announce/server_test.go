package announce

import (
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"kingcuprill/core/membership"
	"kingcuprill/core/vmstate"
	rpc "kingcuprill/rpc/target"
)

// An announcement that no target makes must be refused in few words, and change nothing.
func TestOddAnnouncementIsRefused(t *testing.T) {
	s := &Server{
		VMState:  vmstate.New(membership.Member{ID: "vm", Region: "east", DataCentre: "east-a"}, time.Minute),
		Networks: []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0"), netip.MustParsePrefix("::/0")}, Log: slog.New(slog.DiscardHandler),
	}
	web := httptest.NewServer(s.Handler())
	t.Cleanup(web.Close)
	post := func(body string) (code int, answer string) {
		response, err := http.Post(web.URL+rpc.AnnouncementsPathPrefix+"Announce", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(data)
	}
	sound := map[string]any{
		"id": "sound", "boot_id": "b", "service": "s", "kind": "engine", "address": "10.0.0.1:80", "region": "east", "data_centre": "east-a", "capacity": 8, "models": []string{"m"},
	}
	encode := func(row map[string]any) string {
		data, err := json.Marshal(row)
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	if code, answer := post(encode(sound)); code != http.StatusOK {
		t.Fatalf("the sound one: status %d, %s", code, answer)
	}
	long := strings.Repeat("x", 100000)
	odd := map[string][]any{
		"id": {"", long, "a\x07", 5, nil}, "boot_id": {"", long, []int{1}}, "service": {"", long, true}, "kind": {"", long, "other"}, "region": {"", long}, "data_centre": {"", long},
		"address":  {"", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:70000", "10.0.0.1", "host:80", "0.0.0.0:80", "[::]:80", "224.0.0.1:80", long},
		"capacity": {0, -1, 1e308, 1 << 31, 1<<31 - 1, 1.5, "many"}, "running": {1e308, 1 << 40, 0.5, -1}, "waiting": {-1, json.Number("1e400")},
		"version": {long, "a\x07"}, "models": {[]string{long}, []string{"a\x07"}, "m", []int{1}, [][]string{{"m"}}}, "load_age_nanoseconds": {1e308, "x"},
	}
	bodies := map[string]string{
		"nested": strings.Repeat("[", 100000), "nested field": strings.Replace(encode(sound), `"sound"`, strings.Repeat("[", 20000)+strings.Repeat("]", 20000), 1),
		"list": "[" + encode(sound) + "]", "cut": encode(sound)[:40], "empty": "", "not UTF-8": strings.Replace(encode(sound), "sound", "\xff", 1),
		"twice": strings.Replace(encode(sound), `{`, `{"id":"a",`, 1), "too large": strings.Replace(encode(sound), `"sound"`, `"`+strings.Repeat("x", 2<<20)+`"`, 1),
	}
	for field, values := range odd {
		for _, value := range values {
			row := maps.Clone(sound)
			row["id"] = "odd"
			row[field] = value
			bodies[field+" "+encode(map[string]any{"": value})] = encode(row)
		}
	}
	for name, body := range bodies {
		code, answer := post(body)
		if code < 400 || code > 499 || len(answer) > 2000 {
			t.Errorf("%.60s: status %d, %d bytes of answer: %.150s", name, code, len(answer), answer)
		}
	}
	if rows := s.VMState.Targets.View.Read().ByID; len(rows) != 1 || rows["sound"] == nil {
		t.Errorf("%d targets are known", len(rows))
	}
}
