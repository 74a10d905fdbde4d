package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"
)

// siteNames are the words by which one deployment differs from another.
type siteNames struct {
	Name string
	Net  struct{ Zones []string }
	Tier []struct {
		Name string
		Kind []struct{ Name string }
	}
	Class  []struct{ Name string }
	Tenant []struct{ Name string }
}

// words are those names, with what each of them is.
func (s siteNames) words() map[string]string {
	w := map[string]string{s.Name: "deployment"}
	for _, z := range s.Net.Zones {
		w[z] = "zone"
	}
	for _, t := range s.Tier {
		w[t.Name] = "tier"
		for _, k := range t.Kind {
			w[k.Name] = "kind"
		}
	}
	for _, c := range s.Class {
		w[c.Name] = "class"
	}
	for _, t := range s.Tenant {
		w[t.Name] = "tenant"
	}
	return w
}

// named are the words that a text holds, each as a word of its own.
func named(text string, words map[string]string) (found []string) {
	for w, what := range words {
		if regexp.MustCompile(`(^|[^\w-])` + regexp.QuoteMeta(w) + `($|[^\w-])`).MatchString(text) {
			found = append(found, what+" "+w)
		}
	}
	return found
}

// TestNamesOfDeploymentsComeFromSettings reads the site files of deploy/sites and every program text: none may know a
// class, kind, zone or tenant of a deployment.
func TestNamesOfDeploymentsComeFromSettings(t *testing.T) {
	files, err := filepath.Glob("../../deploy/sites/*/*.toml")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 2, "the site files")
	words := map[string]string{}
	for _, f := range files {
		var s siteNames
		_, err := toml.DecodeFile(f, &s)
		require.NoError(t, err, f)
		require.NotEmpty(t, s.Net.Zones, f)
		require.NotEmpty(t, s.Tier, f)
		require.NotEmpty(t, s.Tier[0].Kind, f)
		require.GreaterOrEqual(t, len(s.Class), 2, f)
		for w, what := range s.words() {
			require.NotEmpty(t, w, f)
			words[w] = what
		}
	}
	read := 0
	for _, folder := range []string{"routing", "internal", "cmd"} {
		require.NoError(t, filepath.WalkDir("../../"+folder, func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			read++
			if found := named(string(text), words); len(found) > 0 {
				t.Errorf("%s names %s", path, strings.Join(found, ", "))
			}
			return err
		}))
	}
	require.Greater(t, read, 50, "program texts read")
}

func TestNamedFindsWordsOnly(t *testing.T) {
	words := siteNames{Name: "s", Class: []struct{ Name string }{{"own-list"}}, Tenant: []struct{ Name string }{{"acme"}}}.words()
	for _, c := range []struct {
		text string
		want []string
	}{
		{`if class == "own-list" {`, []string{"class own-list"}},
		{"// what own-list does", []string{"class own-list"}},
		{"own-list", []string{"class own-list"}},
		{`case "acme", "other":`, []string{"tenant acme"}},
		{"my-own-list own-lists own-list-2 acme2 acme_x", nil},
	} {
		require.Equal(t, c.want, named(c.text, words), c.text)
	}
}
