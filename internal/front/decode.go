package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// maxFindings bounds the findings of one refusal, since a body could otherwise
// be turned into a far larger answer.
const maxFindings = 32

// decode reads a request from JSON. Unknown and repeated fields are findings,
// because a misspelt field such as "non-idempotant" would otherwise change the
// guarantee that the caller asked for.
func decode(body []byte) (workload.Request, workload.Findings) {
	var request workload.Request
	var findings workload.Findings
	err := json.Unmarshal(body, &request)
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
	case errors.As(err, &syntax):
		findings.Add(position(body, syntax.Offset), "malformed JSON: %s", syntax.Error())
		return request, findings
	case errors.As(err, &wrongType):
		place := position(body, wrongType.Offset)
		if wrongType.Field != "" {
			place = wrongType.Field + ", " + place
		}
		findings.Add(place, "must be %s, got JSON %s", typeName(wrongType.Type), wrongType.Value)
	default:
		findings.Add("body", "%s", err.Error())
	}
	walker := &walker{body: body, decoder: json.NewDecoder(bytes.NewReader(body)), findings: &findings}
	walker.value("", reflect.TypeFor[workload.Request]())
	if len(findings) > maxFindings {
		more := len(findings) - maxFindings
		findings = findings[:maxFindings]
		findings.Add("body", "%d more findings are left out", more)
	}
	return request, findings
}

// typeName names a Go type in JSON terms.
func typeName(of reflect.Type) string {
	switch of.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Slice:
		return "a base64 string"
	default:
		return "an object"
	}
}

// position returns the line and the column, both from 1 and the column in
// bytes, of the last byte before the offset.
func position(body []byte, offset int64) string {
	read := body[:min(max(offset, 0), int64(len(body)))]
	line := 1 + bytes.Count(read, []byte("\n"))
	column := len(read) - (bytes.LastIndexByte(read, '\n') + 1)
	return fmt.Sprintf("line %d, column %d", line, max(column, 1))
}

// walker visits the fields of valid JSON in step with the Go type.
type walker struct {
	body     []byte
	decoder  *json.Decoder
	findings *workload.Findings
}

func (w *walker) value(path string, of reflect.Type) {
	token, err := w.decoder.Token()
	if err != nil {
		return
	}
	switch token {
	case json.Delim('{'):
		w.object(path, of)
	case json.Delim('['):
		for w.decoder.More() {
			w.value(path, nil)
		}
		_, _ = w.decoder.Token()
	}
}

func (w *walker) object(path string, of reflect.Type) {
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return
		}
		name, _ := token.(string)
		place := strings.TrimPrefix(path+"."+name, ".")
		field, known := fieldType(of, name)
		switch {
		case of != nil && !known:
			w.findings.Add(fmt.Sprintf("%.80s, %s", place, position(w.body, w.decoder.InputOffset())), "unknown field")
		case of != nil && seen[name]:
			w.findings.Add(fmt.Sprintf("%.80s, %s", place, position(w.body, w.decoder.InputOffset())), "field given twice")
		}
		if known {
			seen[name] = true
		}
		w.value(place, field)
	}
	_, _ = w.decoder.Token()
}

// fieldType returns the type of the struct field with exactly this JSON name,
// or nil as the type if it is not a struct.
func fieldType(of reflect.Type, name string) (reflect.Type, bool) {
	if of == nil || of.Kind() != reflect.Struct {
		return nil, false
	}
	for i := range of.NumField() {
		field := of.Field(i)
		if tag, _, _ := strings.Cut(field.Tag.Get("json"), ","); tag == name {
			if field.Type.Kind() == reflect.Struct {
				return field.Type, true
			}
			return nil, true
		}
	}
	return nil, false
}
