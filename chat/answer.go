package chat

import (
	"encoding/json"
	"time"

	"tarragonhollow.example/tarragonhollow/target"
)

// Answer is the complete response of a chat completion.
type Answer struct {
	// Text is the generated text.
	Text string
	// Finish is how the generation ended.
	Finish target.Finish
}

// errCompletion is the type of errors of DecodeAnswer.
var errCompletion = errorNamespace.NewType("completion")

// completion is a complete response in the OpenAI format.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

// completionChoice is the only choice of a response.
type completionChoice struct {
	Index        int            `json:"index"`
	Message      target.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

// completionUsage counts the tokens.
type completionUsage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

// promptDetails counts the prompt tokens that came from the engine's cache.
type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// DecodeAnswer decodes the output of EncodeAnswer, so that a response can be stored in
// the same form in which its caller receives it.
func DecodeAnswer(body []byte) (Answer, error) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return Answer{}, errCompletion.Wrap(err, "not a chat completion")
	}
	if len(c.Choices) != 1 {
		return Answer{}, errCompletion.New("%d choices, want 1", len(c.Choices))
	}
	choice := c.Choices[0]
	return Answer{Text: choice.Message.Content, Finish: target.Finish{
		Reason: choice.FinishReason,
		Usage: target.Usage{
			PromptTokens: c.Usage.PromptTokens, CompletionTokens: c.Usage.CompletionTokens,
			CachedTokens: c.Usage.Details.CachedTokens,
		},
	}}, nil
}

// EncodeAnswer encodes a complete response in the OpenAI format.
func EncodeAnswer(id, model string, created time.Time, result Answer) []byte {
	usage := result.Finish.Usage
	body, err := json.Marshal(completion{
		ID: id, Object: "chat.completion", Created: created.Unix(), Model: model,
		Choices: []completionChoice{{
			Message:      target.Message{Role: "assistant", Content: result.Text},
			FinishReason: result.Finish.Reason,
		}},
		Usage: completionUsage{
			PromptTokens: usage.PromptTokens, CompletionTokens: usage.CompletionTokens,
			TotalTokens: usage.PromptTokens + usage.CompletionTokens,
			Details:     promptDetails{CachedTokens: usage.CachedTokens},
		},
	})
	if err != nil {
		// Encoding strings and numbers cannot fail.
		panic(err)
	}
	return body
}
