package catalogue

import "github.com/goccy/go-yaml"

// String returns the content of the file as YAML that ReadFile accepts, including
// the revisions of the entries.
func (f File) String() string {
	content := struct {
		Entries []Entry `yaml:"entries"`
		Delete  []ID    `yaml:"delete,omitempty"`
	}{f.Entries, f.Delete}
	data, err := yaml.MarshalWithOptions(content, yaml.IndentSequence(true))
	if err != nil {
		panic(err) // Every field has a type that the library can marshal.
	}
	return string(data)
}
