package capacity

import (
	"fmt"
	"strings"
)

func markers(name string) (begin, end string) {
	return "<!-- generated: " + name + " -->\n", "<!-- end of " + name + " -->\n"
}

// Update replaces the generated tables of a page and leaves its prose. A page
// without the markers of a table is an error.
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

// Generated returns the text between the markers of a table.
func Generated(page, name string) (string, bool) {
	begin, end := markers(name)
	from, to := strings.Index(page, begin), strings.Index(page, end)
	if from < 0 || to < from {
		return "", false
	}
	return strings.TrimSpace(page[from+len(begin) : to]), true
}
