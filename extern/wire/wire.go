// Package wire holds the JSON bodies of the platform's HTTP services, shared
// by the clients and the stand-ins.
package wire

// ClientHeader names the calling daemon to the platform's services.
const ClientHeader = "X-Client"

// Appended answers an append.
type Appended struct {
	// Offset is the record's place in the stream.
	Offset int64 `json:"offset"`
}

// Record is one record of a read; Data is base64 in JSON.
type Record struct {
	Offset int64 `json:"offset"`
	// AtMs is when the log took the record, Unix milliseconds.
	AtMs int64  `json:"at_ms"`
	Data []byte `json:"data"`
}

// Page answers a read.
type Page struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// Bounds answers a question for one stream's offsets.
type Bounds struct {
	// First is the earliest offset still kept.
	First int64 `json:"first"`
	// Next is the offset that the next append will get.
	Next int64 `json:"next"`
}

// Stream is one line of Streams.
type Stream struct {
	Name string `json:"name"`
	Bounds
}

// Streams lists the log's streams by name.
type Streams struct {
	Streams []Stream `json:"streams"`
}

// Error is the body of every answer that is not a success.
type Error struct {
	// Error explains the refusal to a person.
	Error string `json:"error"`
	// RetryAfterMs is finer than the Retry-After header, which has whole
	// seconds only; 0 says nothing.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}
