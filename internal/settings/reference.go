package settings

import (
	"fmt"
	"strings"
)

const referenceHeader = `# Settings of a node

This page is made from the code: ` + "`go test ./internal/settings -run TestReferencePage -update`" + ` writes it anew, and the
test fails when it differs.

Each setting can be given in three ways. A flag comes before an environment variable, and that before the settings file
that ` + "`--config FILE`" + ` (or ` + "`HILLFORK_CONFIG`" + `) names. The file is YAML, a key a line. Every value is checked at the
start: a bad one is reported with its key, the value and what is allowed, and hillforkd exits with 2.

| Key | Flag | Variable | Default | Meaning | Allowed |
| --- | --- | --- | --- | --- | --- |
`

// Reference returns the operators' reference page of all settings, as Markdown.
func Reference() string {
	var page strings.Builder
	page.WriteString(referenceHeader)
	for _, definition := range definitions {
		fmt.Fprintf(&page, "| `%s` | `--%s` | `%s` | %s | %s | %s |\n", definition.Key, definition.Key, variableOf(definition.Key),
			defaultText(definition.Default), definition.Usage, definition.Allowed)
	}
	return page.String()
}

func variableOf(key string) string {
	return EnvironmentPrefix + "_" + strings.ToUpper(strings.ReplaceAll(key, "-", "_"))
}

func defaultText(value string) string {
	if value == "" {
		return "none"
	}
	return "`" + value + "`"
}
