// Package wire defines the JSON bodies of the platform's HTTP services, shared by
// the clients and the stand-in services.
package wire

// ClientHeader names the calling daemon to the platform's services.
const ClientHeader = "X-Client"

// Appended is the response to an append.
type Appended struct {
	// Offset is the record's position in the stream.
	Offset int64 `json:"offset"`
}

// Record is one record of a read; Data is base64 in JSON.
type Record struct {
	Offset int64 `json:"offset"`
	// AtMs is when the log appended the record, in Unix milliseconds.
	AtMs int64  `json:"at_ms"`
	Data []byte `json:"data"`
}

// Page is the response to a read.
type Page struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// Bounds is the response to a request for one stream's offsets.
type Bounds struct {
	// First is the earliest offset still stored.
	First int64 `json:"first"`
	// Next is the offset that the next append will get.
	Next int64 `json:"next"`
}

// Stream is one entry of Streams.
type Stream struct {
	Name string `json:"name"`
	Bounds
}

// Streams lists the log's streams by name.
type Streams struct {
	Streams []Stream `json:"streams"`
}

// Error is the body of every response that is not a success.
type Error struct {
	// Error is a human-readable reason for the refusal.
	Error string `json:"error"`
	// RetryAfterMs is the time after which to retry, in milliseconds, since the
	// Retry-After header has whole seconds only; 0 means not specified.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}
