package capacity

import (
	"fmt"
	"strings"
)

func markers(name string) (begin, end string) {
	return "<!-- generated: " + name + " -->\n", "<!-- end of " + name + " -->\n"
}

// Update returns the page with its generated tables replaced and its prose
// unchanged. It returns an error if the page lacks the markers of a table.
func Update(page string, tables []Table) (string, error) {
	for i := range tables {
		begin, end := markers(tables[i].Name)
		from, to := strings.Index(page, begin), strings.Index(page, end)
		if from < 0 || to < from {
			return "", fmt.Errorf("the page has no markers %q and %q in this order", strings.TrimSpace(begin), strings.TrimSpace(end))
		}
		page = page[:from+len(begin)] + "\n" + tables[i].Markdown() + "\n" + page[to:]
	}
	return page, nil
}

// GeneratedTable returns the text between the markers of a table, and whether the
// page has them.
func GeneratedTable(page, name string) (string, bool) {
	begin, end := markers(name)
	from, to := strings.Index(page, begin), strings.Index(page, end)
	if from < 0 || to < from {
		return "", false
	}
	return strings.TrimSpace(page[from+len(begin) : to]), true
}
