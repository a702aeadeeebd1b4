// Package doctable parses the tables of Markdown pages, for tests that compare documentation with code.
package doctable

import (
	"fmt"
	"os"
	"strings"
)

// Rows returns the cells of all table rows of a page whose first cell starts with a backtick or a digit. Backticks are
// removed.
func Rows(path string) ([][]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read page: %w", err)
	}
	var rows [][]string
	for _, line := range strings.Split(string(data), "\n") {
		if !strings.HasPrefix(line, "| `") && (len(line) < 3 || line[:2] != "| " || line[2] < '0' || line[2] > '9') {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.ReplaceAll(strings.TrimSpace(cells[i]), "`", "")
		}
		rows = append(rows, cells)
	}
	return rows, nil
}
