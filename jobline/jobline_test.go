package jobline_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/jobline"
)

func TestJobline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jobline")
}

var _ = DescribeTable("a refused line names its number and what is wrong",
	func(text, want string) {
		_, err := jobline.Parse(7, []byte(text))
		Expect(err).To(MatchError(ContainSubstring(want)))
		Expect(err).To(MatchError(HavePrefix("line 7: ")))
	},
	Entry("empty", ``, "ends early"),
	Entry("cut", `{"custom_id":"a","url":"/v1/chat/completions","body":{"x":1`, "body: the JSON text ends early"),
	Entry("array", `[]`, "not a JSON object"),
	Entry("two values", `{"custom_id":"a","url":"/v1/chat/completions","body":{}} {}`, "more than one"),
	Entry("two bodies", `{"custom_id":"a","url":"/v1/chat/completions","body":{},"body":{"n":2}}`, "body: given twice"),
	Entry("unknown", `{"custom_id":"a","url":"/v1/chat/completions","body":{},"bodie":1}`, "unknown field \"bodie\""),
	Entry("no id", `{"url":"/v1/chat/completions","body":{}}`, "custom_id: missing"),
	Entry("numeric id", `{"custom_id":3,"url":"/v1/chat/completions","body":{}}`, "custom_id: not a string"),
	Entry("id with newline", `{"custom_id":"a\nb","url":"/v1/chat/completions","body":{}}`, "cannot be printed"),
	Entry("other url", `{"custom_id":"a","url":"/admin/config","body":{}}`, "url: "),
	Entry("no service", `{"custom_id":"a","url":"/v1/services//x","body":{}}`, "url: "),
	Entry("null body", `{"custom_id":"a","url":"/v1/services/tickets/new","body":null}`, "body: missing"),
	Entry("chat body", `{"custom_id":"a","url":"/v1/chat/completions","body":[1]}`, "body: not a JSON object"),
	Entry("method", `{"custom_id":"a","url":"/v1/chat/completions","body":{},"method":"GET"}`, "method: "),
)

func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`{"custom_id":"sheet-1","url":"/v1/chat/completions","body":{"model":"m","messages":[]}}`,
		`{"custom_id":"a","method":"POST","url":"/v1/services/tickets/new?x=1","body":[1,"\u00e4"]}`,
		`{"custom_id":"a","custom_id":"b"}`, `{"body":{{`, "{\"custom_id\":\"\xff\"}", `{"custom_id":"\ud800"}`, `{`, ``, `null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		line, err := jobline.Parse(1, text)
		if err != nil {
			if e, ok := err.(*jobline.Error); !ok || e.Line != 1 || e.Detail == "" {
				t.Fatalf("untyped or empty error %#v", err)
			}
			return
		}
		again, err := json.Marshal(map[string]any{"custom_id": line.CustomID, "url": line.URL, "body": line.Body})
		if err != nil {
			t.Fatalf("an accepted line does not encode: %v", err)
		}
		second, err := jobline.Parse(1, again)
		if err != nil || second.CustomID != line.CustomID || second.URL != line.URL {
			t.Fatalf("an accepted line does not parse again: %v, %q", err, again)
		}
	})
}
