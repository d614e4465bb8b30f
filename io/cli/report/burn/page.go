package burn

import (
	"html/template"
	"os"
	"time"

	"kingcuprill/core/fault"
	"kingcuprill/rpc/operator"
)

// bar is one row of the page. The template reads its fields by name.
type bar struct {
	Organisation string
	Route        string
	Region       string
	Window       string
	Total        uint64
	Bad          uint64
	Burn         float64
	Width        float64 // pixels
	Alarm        bool
}

type pageData struct {
	Bars      []bar
	Unreached []string
}

const (
	pixelsPerBurn = 20.0
	maxWidth      = 400.0 // pixels
	alarmBurn     = 1.0
)

var page = template.Must(template.New("burn").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font:14px sans-serif}td{padding:2px 8px}.ok{fill:#4a8}.alarm{fill:#c43}</style>
<h1>Service-level burn</h1>
{{if .Unreached}}<p><strong>Not in this report, since they did not answer:</strong> {{range .Unreached}}{{.}} {{end}}</p>{{end}}
<table><tr><th>organisation<th>route<th>region<th>window<th>answers<th>bad<th>burn<th></tr>
{{range .Bars}}<tr><td>{{.Organisation}}<td>{{.Route}}<td>{{.Region}}<td>{{.Window}}<td>{{.Total}}<td>{{.Bad}}<td>{{printf "%.2f" .Burn}}
<td><svg width="400" height="12"><rect class="{{if .Alarm}}alarm{{else}}ok{{end}}" width="{{.Width}}" height="12"/></svg></tr>
{{end}}</table></html>
`))

// writePage writes the report as an HTML page without external resources. An
// existing file is overwritten.
func writePage(path string, answer *operator.BurnResponse) (err error) {
	defer fault.Annotate(&err, "write %s", path)
	data := pageData{Unreached: answer.GetUnreachedVms()}
	for _, r := range answer.GetRows() {
		data.Bars = append(data.Bars, bar{
			Organisation: r.GetOrganisation(), Route: r.GetRoute(), Region: r.GetRegion(),
			Window: time.Duration(r.GetWindowNanoseconds()).String(), Total: r.GetTotal(), Bad: r.GetBad(), Burn: r.GetBurn(),
			Width: min(maxWidth, 1+r.GetBurn()*pixelsPerBurn), Alarm: r.GetBurn() > alarmBurn,
		})
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	return page.Execute(file, data)
}
