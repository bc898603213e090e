package standinset

import (
	"fmt"
	"reflect"

	"tarragonhollow.example/tarragonhollow/inifile"
)

// maxTagged bounds the numeric values of tagged options; the stand-in itself checks
// the narrower bounds. An int64 is a size in bytes, an int a count.
const maxTagged = 1 << 40

// readTagged sets the fields of options that have an ini tag. A field whose key is
// absent keeps its value. Reading the tags ensures that the settings cover all options
// of the engine and the service.
func readTagged(section *inifile.Section, options any) {
	value := reflect.ValueOf(options).Elem()
	for i := range value.NumField() {
		key := value.Type().Field(i).Tag.Get("ini")
		if key != "" {
			readField(section, key, value.Field(i))
		}
	}
}

func readField(section *inifile.Section, key string, field reflect.Value) {
	switch field.Kind() {
	case reflect.String:
		field.SetString(readText(section, key, field.String()))
	case reflect.Bool:
		field.SetBool(section.Bool(key, field.Bool()))
	case reflect.Int:
		field.SetInt(int64(section.Int(key, int(field.Int()), 0, maxTagged)))
	case reflect.Int64:
		field.SetInt(section.Size(key, field.Int(), 0, maxTagged))
	case reflect.Uint64:
		field.SetUint(uint64(section.Int(key, int(field.Uint()), 0, maxTagged)))
	case reflect.Float64:
		field.SetFloat(section.Float(key, field.Float(), 0, maxTagged))
	default:
		// Reached only if an option of a new type is added.
		panic(fmt.Sprintf("standinset: no settings of type %s for %s", field.Type(), key))
	}
}

// readText reads a text; "none" stands for the empty text, since an empty value is
// more often a mistake than an intention to disable something.
func readText(section *inifile.Section, key, fallback string) string {
	text := section.Text(key, fallback)
	if text == "none" {
		return ""
	}
	return text
}
