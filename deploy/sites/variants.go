//go:build ignore

// Variants makes the site files of other customers from the platform's own: each override file in
// this folder is merged into the site file, and the files that the bench wants beside it are copied.
//
//	go run deploy/sites/variants.go ../given/kit/sites
//
// The results go to deploy/sites/made, which git ignores. Tables are merged key by key and arrays
// of tables by their place; every other value of an override replaces the site's.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/BurntSushi/toml"
)

const (
	overrides = "deploy/sites"
	results   = "deploy/sites/made"
	base      = "agadir-prix.toml"
)

// beside are the files that the bench looks for next to a site file.
var beside = []string{"real.json", "wire.json", "design.json", "ops.json", "unlock.txt"}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go run deploy/sites/variants.go FOLDER-OF-THE-SITE-FILE")
		os.Exit(2)
	}
	if err := makeAll(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "variants:", err)
		os.Exit(1)
	}
}

func makeAll(kit string) error {
	files, err := filepath.Glob(filepath.Join(overrides, "*.toml"))
	if err != nil {
		return err
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		if err := makeOne(kit, file, filepath.Join(results, name)); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	return nil
}

func makeOne(kit, file, folder string) error {
	var site, override map[string]any
	if _, err := toml.DecodeFile(filepath.Join(kit, base), &site); err != nil {
		return err
	}
	if _, err := toml.DecodeFile(file, &override); err != nil {
		return err
	}
	merge(site, override)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(folder, "site.toml"))
	if err != nil {
		return err
	}
	if err := toml.NewEncoder(out).Encode(site); err != nil {
		return err
	}
	if err := out.Close(); err != nil {
		return err
	}
	for _, name := range beside {
		data, err := os.ReadFile(filepath.Join(kit, name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(folder, name), data, 0o644); err != nil {
			return err
		}
	}
	return nil
}

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
