package benchmarker

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Table is the result of a measurement. The column names contain the units.
type Table struct {
	Title   string
	Columns []string
	Rows    []Row
	// Notes describe what the figures include and exclude.
	Notes []string
}

// Row is one line of a table.
type Row struct {
	Case string
	// Values are in the order of the columns.
	Values []float64
}

// addRow appends a row.
func (t *Table) addRow(name string, values ...float64) {
	t.Rows = append(t.Rows, Row{Case: name, Values: values})
}

// PrintTables writes tables as text.
func PrintTables(w io.Writer, tables []Table) error {
	for _, table := range tables {
		fmt.Fprintf(w, "%s\n", table.Title)
		columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintf(columns, "case\t%s\n", strings.Join(table.Columns, "\t"))
		for _, row := range table.Rows {
			fmt.Fprintf(columns, "%s\t%s\n", row.Case, strings.Join(formatValues(row.Values), "\t"))
		}
		if err := columns.Flush(); err != nil {
			return err
		}
		for _, note := range table.Notes {
			fmt.Fprintf(w, "note: %s\n", note)
		}
		fmt.Fprintln(w)
	}
	return nil
}

// significantDigits is the precision of the text form. Runs differ by more than
// that.
const significantDigits = 3

func formatValues(values []float64) []string {
	texts := make([]string, len(values))
	for i, value := range values {
		if value >= 100 || value <= -100 {
			texts[i] = strconv.FormatFloat(value, 'f', 0, 64)
			continue
		}
		texts[i] = strconv.FormatFloat(value, 'g', significantDigits, 64)
	}
	return texts
}
