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

// maxFindings limits the findings of one refusal, since a body with many invalid
// fields could otherwise cause a far larger response.
const maxFindings = 32

// decode parses a request from JSON. It reports unknown and repeated fields as
// findings, because a misspelt field such as "non-idempotant" would otherwise
// silently change the guarantee that the caller asked for.
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
		findings.Add(place, "must be %s, got JSON %s", jsonTypeName(wrongType.Type), wrongType.Value)
	default:
		findings.Add("body", "%s", err.Error())
	}
	checker := &fieldChecker{body: body, decoder: json.NewDecoder(bytes.NewReader(body)), findings: &findings}
	checker.checkValue("", reflect.TypeFor[workload.Request]())
	if len(findings) > maxFindings {
		omitted := len(findings) - maxFindings
		findings = findings[:maxFindings]
		findings.Add("body", "%d more findings are left out", omitted)
	}
	return request, findings
}

// jsonTypeName describes a Go type in JSON terms.
func jsonTypeName(goType reflect.Type) string {
	switch goType.Kind() {
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

// position describes the position of the last byte before the offset as a line
// and a column. Both start at 1, and the column counts bytes.
func position(body []byte, offset int64) string {
	prefix := body[:min(max(offset, 0), int64(len(body)))]
	line := 1 + bytes.Count(prefix, []byte("\n"))
	column := len(prefix) - (bytes.LastIndexByte(prefix, '\n') + 1)
	return fmt.Sprintf("line %d, column %d", line, max(column, 1))
}

// fieldChecker compares the field names in a JSON document with those of a Go
// type and reports unknown and repeated ones.
type fieldChecker struct {
	body     []byte
	decoder  *json.Decoder
	findings *workload.Findings
}

// checkValue reads the next JSON value and checks the objects in it. The type is
// nil for values whose field names are not checked.
func (c *fieldChecker) checkValue(path string, goType reflect.Type) {
	token, err := c.decoder.Token()
	if err != nil {
		return
	}
	switch token {
	case json.Delim('{'):
		c.checkObject(path, goType)
	case json.Delim('['):
		for c.decoder.More() {
			c.checkValue(path, nil)
		}
		_, _ = c.decoder.Token()
	}
}

func (c *fieldChecker) checkObject(path string, goType reflect.Type) {
	seen := map[string]bool{}
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return
		}
		name, _ := token.(string)
		place := strings.TrimPrefix(path+"."+name, ".")
		field, known := structField(goType, name)
		switch {
		case goType != nil && !known:
			c.findings.Add(fmt.Sprintf("%.80s, %s", place, position(c.body, c.decoder.InputOffset())), "unknown field")
		case goType != nil && seen[name]:
			c.findings.Add(fmt.Sprintf("%.80s, %s", place, position(c.body, c.decoder.InputOffset())), "field given twice")
		}
		if known {
			seen[name] = true
		}
		c.checkValue(place, field)
	}
	_, _ = c.decoder.Token()
}

// structField looks up the field with exactly this JSON name and reports whether
// it exists. The returned type is nil if the field is not itself a struct.
func structField(goType reflect.Type, name string) (reflect.Type, bool) {
	if goType == nil || goType.Kind() != reflect.Struct {
		return nil, false
	}
	for i := range goType.NumField() {
		field := goType.Field(i)
		if tag, _, _ := strings.Cut(field.Tag.Get("json"), ","); tag == name {
			if field.Type.Kind() == reflect.Struct {
				return field.Type, true
			}
			return nil, true
		}
	}
	return nil, false
}
