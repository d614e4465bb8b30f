// Package table prints rows in one of three formats: aligned with a header line on a
// terminal, separated by tabs without a header otherwise, or as an array of JSON
// objects.
package table

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Print writes rows whose values are in the order of columns. If fields is not empty,
// it names the columns to print as JSON, separated by commas, or is "all"; an unknown
// column is an error.
func Print(w io.Writer, terminal bool, fields string, columns []string, rows [][]string) error {
	switch {
	case fields != "":
		return printJSON(w, fields, columns, rows)
	case terminal:
		return printAligned(w, columns, rows)
	}
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return nil
}

const columnGap = 2 // spaces

func printAligned(w io.Writer, columns []string, rows [][]string) error {
	writer := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(writer, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

func printJSON(w io.Writer, fields string, columns []string, rows [][]string) error {
	wanted := strings.Split(fields, ",")
	if fields == "all" {
		wanted = columns
	}
	for _, field := range wanted {
		if !slices.Contains(columns, field) {
			return fmt.Errorf("--json: field %q is not known; use 'all' or some of %s", field, strings.Join(columns, ","))
		}
	}
	objects := make([]map[string]string, 0, len(rows))
	for _, row := range rows {
		object := map[string]string{}
		for _, field := range wanted {
			object[field] = row[slices.Index(columns, field)]
		}
		objects = append(objects, object)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(objects)
}
