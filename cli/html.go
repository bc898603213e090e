package cli

import (
	"bytes"
	"html/template"
)

// page is the template of a report as one file without scripts or links, so that it can
// be stored with an incident and opened anywhere.
var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>{{.Title}}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem; color: #222; }
table { border-collapse: collapse; margin-bottom: 1.5rem; }
tr.marked { background: #fde2e0; }
td, th { border-bottom: 1px solid #ccc; padding: .25rem .75rem; text-align: left; }
</style>
</head>
<body>
<h1>{{.Title}}</h1>
<p>As of {{.At}}</p>
{{range .Notes}}<p>{{.}}</p>
{{end}}{{.Plot}}
{{range .Blocks}}{{if .Title}}<h2>{{.Title}}</h2>{{end}}
<table>
{{$header := .Header}}{{$marked := .Marked}}{{range $i, $row := .Rows}}<tr{{if index $marked $i}} class="marked"{{end}}>{{range $row}}{{if and $header (eq $i 0)}}<th>{{.}}</th>{{else}}<td>{{.}}</td>{{end}}{{end}}</tr>
{{end}}</table>
{{end}}</body>
</html>
`))

// pageContent is the data of a page.
type pageContent struct {
	Title string
	At    string
	// Notes are paragraphs above the plot.
	Notes []string
	// Plot is an inline picture, or "".
	Plot   template.HTML
	Blocks []block
}

// htmlPage renders a page. The template escapes all values except the plot.
func htmlPage(content pageContent) ([]byte, error) {
	var out bytes.Buffer
	err := page.Execute(&out, content)
	return out.Bytes(), err
}
