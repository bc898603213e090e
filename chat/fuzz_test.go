package chat_test

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"

	"tarragonhollow.example/tarragonhollow/chat"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// FuzzParseRequest checks that no body crashes the parser, that every refusal is
// bad_request and not_run, and that a field which the daemon does not know, such as
// "Model" next to "model", is forwarded and changes nothing else.
func FuzzParseRequest(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":4,"stream":true,"seed":7}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`,
		`{"model":"a","Model":"b","messages":[{"role":"user","content":"x"}],"STREAM":true}`,
		`{"model":"m","messages":[{"role":"user","content":null}]}`, `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`,
		`{"model":"\ud800","messages":[{}],"max_completion_tokens":1e999}`, `{"model":null,"messages":null}`, `[]`, `null`, ``, `{"a":{{`, "{\"model\":\"\xff\"}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		req, stream, err := chat.ParseRequest(body)
		if err != nil {
			var refusal *outcome.Refusal
			if !errors.As(err, &refusal) || refusal.Code != outcome.BadRequest || refusal.Run != outcome.NotRun || refusal.Message == "" {
				t.Fatalf("%q is refused by %#v", body, err)
			}
			return
		}
		if req.Model == "" || len(req.Messages) == 0 || req.MaxTokens < 0 {
			t.Fatalf("%q is taken as %+v", body, req)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(body, &fields); err != nil {
			t.Fatalf("%q is taken and no JSON object: %v", body, err)
		}
		for name := range req.Extra {
			delete(fields, name)
		}
		plain, err := json.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		again, streamAgain, err := chat.ParseRequest(plain)
		req.Extra = nil
		if err != nil || stream != streamAgain || !reflect.DeepEqual(again, req) {
			t.Fatalf("%q is %+v, %t; without its other fields %+v, %t, %v", body, req, stream, again, streamAgain, err)
		}
	})
}
