package settings

import (
	"time"

	"tarragonhollow.example/tarragonhollow/inifile"
)

// reader is the visitor that sets the fields from a file. A field that is not in the
// file keeps its default.
type reader struct {
	decoder *inifile.Decoder
	current *inifile.Section
}

func (r *reader) section(name string) { r.current = r.decoder.Section(name) }

func (r *reader) name(key string, field *string) {
	r.current.Require(key, "a name of letters, digits, '_', '.' and '-'")
	*field = r.current.Ident(key, *field)
}

func (r *reader) names(key string, field *[]string) {
	if r.current.Has(key) {
		*field = r.current.Idents(key)
	}
}

func (r *reader) address(key string, field *string) {
	r.current.Require(key, "IP:PORT, like 127.0.0.1:8080")
	*field = r.current.Address(key, *field, true)
}

func (r *reader) optionalAddress(key string, field *string) {
	*field = r.current.Address(key, *field, false)
}

func (r *reader) addresses(key string, field *[]string) {
	if r.current.Has(key) {
		*field = r.current.Addresses(key)
	}
}

func (r *reader) url(key string, field *string, required bool) {
	if required {
		r.current.Require(key, "http://IP:PORT")
	}
	*field = r.current.URL(key, *field)
}

func (r *reader) secret(key string, field *string, minBytes int) {
	*field = r.current.Secret(key, *field, minBytes)
}

func (r *reader) enum(key string, field *string, allowed ...string) {
	*field = r.current.Enum(key, *field, allowed...)
}

func (r *reader) number(key string, field *int, low, high int) {
	*field = r.current.Int(key, *field, low, high)
}

func (r *reader) duration(key string, field *time.Duration, low, high time.Duration) {
	*field = r.current.Duration(key, *field, low, high)
}

func (r *reader) size(key string, field *int64, low, high int64) {
	*field = r.current.Size(key, *field, low, high)
}

func (r *reader) fraction(key string, field *float64, low, high float64) {
	*field = r.current.Float(key, *field, low, high)
}

func (r *reader) toggle(key string, field *bool) {
	*field = r.current.Enum(key, toggleText(*field), toggleOn, toggleOff) == toggleOn
}
