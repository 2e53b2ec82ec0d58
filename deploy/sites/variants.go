//go:build ignore

// Command variants generates site files for other customers: it merges each override file of this directory into the
// platform's site file, and copies the files that the bench expects next to it.
//
//	go run deploy/sites/variants.go ../given/kit/sites
//
// The results are written to deploy/sites/made, which is in .gitignore. Tables are merged by key and arrays of tables by
// index; any other value of an override replaces that of the site file.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/BurntSushi/toml"
)

const (
	overridesDir = "deploy/sites"
	resultsDir   = "deploy/sites/made"
	baseFile     = "agadir-prix.toml"
)

// companionFiles are the files that the bench expects next to a site file.
var companionFiles = []string{"real.json", "wire.json", "design.json", "ops.json", "unlock.txt"}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go run deploy/sites/variants.go DIRECTORY-OF-THE-SITE-FILE")
		os.Exit(2)
	}
	if err := generateAll(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "variants:", err)
		os.Exit(1)
	}
}

// generateAll generates the site files for all override files.
func generateAll(siteDir string) error {
	files, err := filepath.Glob(filepath.Join(overridesDir, "*.toml"))
	if err != nil {
		return err
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		if err := generate(siteDir, file, filepath.Join(resultsDir, name)); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	return nil
}

// generate writes the site file for one override file, with its companion files, to outDir.
func generate(siteDir, file, outDir string) error {
	var site, override map[string]any
	if _, err := toml.DecodeFile(filepath.Join(siteDir, baseFile), &site); err != nil {
		return err
	}
	if _, err := toml.DecodeFile(file, &override); err != nil {
		return err
	}
	merge(site, override)
	if err := os.MkdirAll(outDir, 0o755); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(outDir, "site.toml"))
	if err != nil {
		return err
	}
	if err := toml.NewEncoder(out).Encode(site); err != nil {
		return err
	}
	if err := out.Close(); err != nil {
		return err
	}
	for _, name := range companionFiles {
		data, err := os.ReadFile(filepath.Join(siteDir, name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(outDir, name), data, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// merge merges override into site.
func merge(site, override map[string]any) {
	for key, value := range override {
		switch value := value.(type) {
		case map[string]any:
			if table, ok := site[key].(map[string]any); ok {
				merge(table, value)
				continue
			}
		case []map[string]any:
			if tables, ok := site[key].([]map[string]any); ok && len(tables) >= len(value) {
				for i := range value {
					merge(tables[i], value[i])
				}
				continue
			}
		}
		site[key] = value
	}
}
