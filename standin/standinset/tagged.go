package standinset

import (
	"fmt"
	"reflect"

	"tarragonhollow.example/tarragonhollow/inifile"
)

// maxTagged bounds the numbers of tagged options; the stand-in's own check
// knows the finer bounds. An int64 is a size in bytes, an int a count.
const maxTagged = 1 << 40

// readTagged fills the fields of the options that bear an ini tag; a field
// keeps its value where the key is absent. By the tags the settings cannot
// lag behind the options of the engine and the service.
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
		// Reached only if options gain a field of a new type.
		panic(fmt.Sprintf("standinset: no settings of type %s for %s", field.Type(), key))
	}
}

// readText reads a text of which "none" is the empty one, since an empty value
// is more often a slip than a wish to switch something off.
func readText(section *inifile.Section, key, fallback string) string {
	text := section.Text(key, fallback)
	if text == "none" {
		return ""
	}
	return text
}
