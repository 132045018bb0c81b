package load

import (
	"html/template"
	"io"
	"strings"
)

// reportTemplate is an HTML page with the plots and the text report. It refers to
// no other file.
var reportTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Load run {{.Report.Mix}}</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 100em; }
pre { overflow-x: auto; background: #f6f6f6; padding: 1em; }
svg { max-width: 100%; height: auto; }
.fault { color: #a00000; font-weight: bold; }
</style>
</head>
<body>
<h1>Load run {{.Report.Mix}}</h1>
{{range .Faults}}<p class="fault">{{.}}</p>
{{else}}<p>No answer was lost, doubled or wrong.</p>
{{end}}
{{range .Plots}}{{.}}
{{end}}
<pre>{{.Text}}</pre>
</body>
</html>
`))

// WriteHTML writes the report as one HTML page that needs no other file. It fails
// if a plot can't be drawn or if out fails.
func (r *Report) WriteHTML(out io.Writer) error {
	plots, err := r.plots()
	if err != nil {
		return err
	}
	var elements []template.HTML
	for i := range plots {
		element, err := plots[i].svg()
		if err != nil {
			return err
		}
		elements = append(elements, template.HTML(element))
	}
	text := &strings.Builder{}
	if err := r.WriteText(text); err != nil {
		return err
	}
	return reportTemplate.Execute(out, struct {
		Report *Report
		Faults []string
		Plots  []template.HTML
		Text   string
	}{r, r.Checks.Faults(), elements, text.String()})
}
