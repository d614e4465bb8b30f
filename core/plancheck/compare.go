package plancheck

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"unicode"

	"kingcuprill/core/plan"
)

// Compare returns the differences of a plan from the one in force, and a finding if it
// isn't newer. Of keys it returns numbers only.
func Compare(before, after plan.Plan) (all []Finding) {
	if after.Version <= before.Version {
		all = append(all, Finding{
			Class: Stale, Entry: "version", Field: "version", Value: fmt.Sprint(after.Version),
			Text: fmt.Sprintf("it must be above %d, the version in force, or the plan has no effect", before.Version),
		})
	}
	sizes := &findings{entry: "limits"}
	sizes.addChange("header bytes", before.MaxHeader, after.MaxHeader)
	sizes.addChange("body bytes", before.MaxBody, after.MaxBody)
	all = append(all, sizes.all...)
	all = append(all, compare("routes", before.Routes, after.Routes, func(r plan.Route) string { return r.Name })...)
	all = append(all, compare("services", before.Services, after.Services, func(s plan.Service) string { return s.Name })...)
	return append(all, compare("organisations", before.Organisations, after.Organisations, func(o plan.Organisation) string { return o.Name })...)
}

func (f *findings) addChange(field string, before, after any) {
	if was, is := describe(before), describe(after); was != is {
		f.add(Difference, field, is, "was %s", was)
	}
}

// compare returns the differences of two lists of entries.
func compare[E any](list string, before, after []E, name func(E) string) (all []Finding) {
	old, order := byName(before, name)
	current, added := byName(after, name)
	for _, id := range order {
		if _, found := current[id]; !found {
			all = append(all, Finding{Class: Difference, Entry: list + "." + id, Text: "removed"})
		}
	}
	for _, id := range added {
		f := &findings{entry: list + "." + id}
		if was, found := old[id]; found {
			f.compareFields(reflect.ValueOf(was), reflect.ValueOf(current[id]))
		} else {
			f.all = []Finding{{Class: Difference, Entry: f.entry, Text: "added"}}
		}
		all = append(all, f.all...)
	}
	return all
}

// byName returns entries by name, and the names in the order of the entries. Further
// entries with the same name have their number added.
func byName[E any](entries []E, name func(E) string) (named map[string]E, order []string) {
	named = map[string]E{}
	for _, e := range entries {
		id := name(e)
		for i := 2; ; i++ {
			if _, taken := named[id]; !taken {
				break
			}
			id = fmt.Sprintf("%s (%d)", name(e), i)
		}
		named[id] = e
		order = append(order, id)
	}
	return named, order
}

// keysField is the field whose values are secret.
const keysField = "Keys"

func (f *findings) compareFields(before, after reflect.Value) {
	for i := range before.NumField() {
		field := before.Type().Field(i).Name
		was, is := before.Field(i).Interface(), after.Field(i).Interface()
		if field == keysField {
			f.addKeys(was.([]string), is.([]string))
			continue
		}
		f.addChange(words(field), was, is)
	}
}

func (f *findings) addKeys(before, after []string) {
	added, removed := countMissing(after, before), countMissing(before, after)
	if added+removed > 0 {
		f.add(Difference, "keys", len(after), "%d added, %d removed", added, removed)
	}
}

// countMissing returns how many of some keys are not among others.
func countMissing(keys, others []string) (count int) {
	for _, key := range keys {
		if !slices.Contains(others, key) {
			count++
		}
	}
	return count
}

// describe returns the text of a value. Lists without values are alike.
func describe(value any) string {
	text := fmt.Sprint(value)
	if text == "" {
		return `""`
	}
	return text
}

// words returns the name of a field as words.
func words(field string) string {
	var b strings.Builder
	for i, r := range field {
		if i > 0 && unicode.IsUpper(r) {
			b.WriteByte(' ')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
