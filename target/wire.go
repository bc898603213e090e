package target

// GenerateBody is the body of POST /v1/chat/completions at an engine.
type GenerateBody struct {
	GenerateRequest
	// Stream requests server-sent events instead of one JSON answer.
	Stream bool `json:"stream"`
}
