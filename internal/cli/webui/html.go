package webui

const templates = `
{{define "head"}}<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>citronrock console</title>
<style>
:root { color-scheme: light dark; --line: #8884; --accent: #0a6; }
body { font: 16px/1.5 system-ui, sans-serif; margin: 0 auto; max-width: 72rem; padding: 1rem; }
h1 { font-size: 1.4rem; } h2 { font-size: 1.1rem; margin: 2rem 0 .5rem; text-transform: capitalize; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; width: 100%; font-size: .9rem; }
th, td { text-align: left; padding: .4rem .6rem; border-bottom: 1px solid var(--line); white-space: nowrap; }
a.button, button { font: inherit; padding: .4rem .9rem; min-height: 2.5rem; border: 1px solid var(--line); border-radius: .4rem;
  background: none; color: inherit; text-decoration: none; cursor: pointer; display: inline-block; box-sizing: border-box; }
.main { background: var(--accent) !important; color: #fff !important; }
form.inline { display: inline; }
label { display: block; margin: .9rem 0 .2rem; font-weight: 600; }
input:not([type=checkbox]), select { font: inherit; width: 100%; max-width: 28rem; padding: .45rem; box-sizing: border-box; }
input[type=checkbox] { width: 1.3rem; height: 1.3rem; vertical-align: middle; }
.hint { font-size: .85rem; opacity: .75; } .problem { color: #c22; }
.box { border: 1px solid var(--line); border-left: 4px solid var(--accent); padding: .5rem 1rem; margin: 1rem 0; overflow-wrap: anywhere; }
.box.bad { border-left-color: #c22; }
</style></head><body>{{end}}

{{define "overview"}}{{template "head"}}
<h1>citronrock: draft of version {{.Version}}</h1>
<p class="hint">Version {{.Published}} is published. The draft changes nothing until you publish the downloaded document.</p>
{{if .Problems}}<div class="box bad"><strong>Daemons would reject this draft:</strong>
<ul>{{range .Problems}}<li>{{.What}}; {{.Remedy}}</li>{{end}}</ul></div>
{{else}}<div class="box">The draft is valid.</div>
<p><a class="button main" href="/document.toml" download>Download the document</a></p>{{end}}
<h2>Changes</h2>
{{if .Changes}}<div class="scroll"><table><tr><th>entry</th><th>published</th><th>draft</th></tr>
{{range .Changes}}<tr><td>{{.Path}}</td><td>{{.Old}}</td><td>{{.New}}</td></tr>{{end}}</table></div>
<form method="post" action="/reset"><p><button>Drop all changes</button></p></form>{{else}}<p>None.</p>{{end}}
{{range $l := .Lists}}<h2>{{.Kind}}s</h2>
<div class="scroll"><table><tr>{{range .Columns}}<th>{{.}}</th>{{end}}<th></th></tr>
{{range .Rows}}<tr>{{range .Values}}<td>{{.}}</td>{{end}}
<td><a class="button" href="/edit/{{$l.Kind}}?name={{.Name}}">Edit</a>
<form class="inline" method="post" action="/delete/{{$l.Kind}}?name={{.Name}}"><button aria-label="Delete {{.Name}}">Delete</button></form></td></tr>
{{else}}<tr><td>None yet.</td></tr>{{end}}</table></div>
<p><a class="button" href="/edit/{{.Kind}}">Add a {{.Kind}}</a></p>{{end}}
</body></html>{{end}}

{{define "edit"}}{{template "head"}}
<h1>{{if .New}}New {{.Kind}}{{else}}{{.Kind}} {{.Name}}{{end}}</h1>
<form method="post" action="/edit/{{.Kind}}?name={{.Name}}">
{{range .Fields}}<label for="{{.Name}}">{{.Name}}</label>
{{if .Check}}<input type="checkbox" id="{{.Name}}" name="{{.Name}}"{{if .Checked}} checked{{end}}>
{{else if .Choices}}{{$v := .Value}}<select id="{{.Name}}" name="{{.Name}}">{{range .Choices}}<option{{if eq . $v}} selected{{end}}>{{.}}</option>{{end}}</select>
{{else}}<input id="{{.Name}}" name="{{.Name}}" value="{{.Value}}">{{end}}
{{if .Hint}}<div class="hint">{{.Hint}}</div>{{end}}
{{if .Problem}}<div class="problem">{{.Name}} {{.Problem}}</div>{{end}}{{end}}
<p><button class="main">Save in the draft</button> <a class="button" href="/">Back</a></p></form>
</body></html>{{end}}
`
