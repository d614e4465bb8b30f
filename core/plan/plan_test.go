package plan

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

func valid() Plan {
	return Plan{
		Version:  1,
		Services: []Service{{Name: "s"}, {Name: "u"}},
		Routes: []Route{
			{Name: "r", Host: "h", Prefix: "/a/", Kind: Stream, Timeout: time.Second, Splits: []Split{{"s", 1}}},
			{Name: "q", Host: "h", Prefix: "/a/b/", Kind: Idempotent, Timeout: time.Second, Splits: []Split{{"s", 9}, {"u", 1}}},
		},
		Organisations: []Organisation{{Name: "o", Keys: []string{"k"}}, {Name: "p", Keys: []string{"l"}}},
	}
}

func TestValidate(t *testing.T) {
	tests := []struct {
		change func(*Plan)
		want   string
	}{
		{func(*Plan) {}, ""},
		{func(p *Plan) { p.Routes[0].Splits[0].Service = "x" }, `routes.r.service: "x"`},
		{func(p *Plan) { p.Routes[1].Prefix = "/a/" }, `routes.q: host "h" and prefix "/a/"`},
		{func(p *Plan) { p.Routes[1].Splits = []Split{{"s", 0}} }, "routes.q.weight"},
		{func(p *Plan) { p.Routes[0].Timeout = 0 }, "routes.r.timeout: 0s"},
		{func(p *Plan) { p.Routes[0].Kind = 0 }, "routes.r.kind"},
		{func(p *Plan) { p.Routes[0].Prefix = "/a" }, `routes.r.prefix: "/a"`},
		{func(p *Plan) { p.Organisations[1].Keys = []string{"k"} }, `"o" and "p" share a key`},
	}
	for _, test := range tests {
		p := valid()
		test.change(&p)
		err := p.Validate()
		if (err == nil) != (test.want == "") || (err != nil && !strings.Contains(err.Error(), test.want)) {
			t.Errorf("error %v, want %q", err, test.want)
		}
	}
}

func TestMatch(t *testing.T) {
	x := NewIndex(valid())
	for path, want := range map[string]string{"/a/x": "r", "/a/b/x": "q", "/a/b": "r", "/c/": "", "/a": ""} {
		if r, _ := x.Match("h", path); r.Name != want {
			t.Errorf("%s goes to route %q, want %q", path, r.Name, want)
		}
	}
}

func TestChooseKeepsToWeights(t *testing.T) {
	r := valid().Routes[1]
	count := map[string]int{}
	for i := range 10_000 {
		count[r.Choose(fmt.Sprint(i))]++
	}
	if count["u"] < 900 || count["u"] > 1100 {
		t.Errorf("%d of 10000 requests go to a split of a tenth", count["u"])
	}
}

func TestRegions(t *testing.T) {
	tests := []struct {
		route, organisation, want []string
		all                       bool
	}{
		{nil, nil, nil, true},
		{[]string{"a", "b"}, nil, []string{"a", "b"}, false},
		{nil, []string{"b"}, []string{"b"}, false},
		{[]string{"a", "b"}, []string{"b", "c"}, []string{"b"}, false},
		{[]string{"a"}, []string{"c"}, nil, false},
	}
	for _, test := range tests {
		if got, all := Regions(test.route, test.organisation); !slices.Equal(got, test.want) || all != test.all {
			t.Errorf("homes %v and %v: %v, %v; want %v, %v", test.route, test.organisation, got, all, test.want, test.all)
		}
	}
}
