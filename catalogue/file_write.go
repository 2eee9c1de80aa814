package catalogue

import "github.com/goccy/go-yaml"

// String returns the file's content as YAML, which ReadFile accepts, with the
// revisions of the entries.
func (f File) String() string {
	content := struct {
		Entries []Entry `yaml:"entries"`
		Delete  []ID    `yaml:"delete,omitempty"`
	}{f.Entries, f.Delete}
	data, err := yaml.MarshalWithOptions(content, yaml.IndentSequence(true))
	if err != nil {
		panic(err) // Entries hold only strings, numbers and lists.
	}
	return string(data)
}
