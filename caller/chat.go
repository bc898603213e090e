package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"tarragonhollow.example/tarragonhollow/target"
)

// ChatPath is the path of chat completions.
const ChatPath = "/v1/chat/completions"

// maxEventBytes limits one server-sent event.
const maxEventBytes = 1 << 20

// Chat is the request body of a chat completion.
type Chat struct {
	Model     string           `json:"model"`
	Stream    bool             `json:"stream,omitempty"`
	MaxTokens int              `json:"max_tokens,omitempty"`
	Messages  []target.Message `json:"messages"`
}

type completion struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// Content returns the text in the body of a chat completion that was not streamed.
func Content(body []byte) (string, error) {
	var response completion
	if err := json.Unmarshal(body, &response); err != nil {
		return "", err
	}
	if len(response.Choices) == 0 {
		return "", fmt.Errorf("no choice in %q", body)
	}
	return response.Choices[0].Message.Content, nil
}

// Chat sends a chat completion without streaming and returns the text of the answer.
func (c *Client) Chat(ctx context.Context, o Options, chat Chat) (string, error) {
	chat.Stream = false
	body, err := json.Marshal(chat)
	if err != nil {
		return "", err
	}
	_, text, err := c.do(ctx, http.MethodPost, ChatPath, bytes.NewReader(body), o, jsonHeader())
	if err != nil {
		return "", err
	}
	return Content(text)
}

// StreamChat streams a chat completion and calls onToken with the text of each chunk. It
// returns nil only after the whole stream was received, including [DONE].
func (c *Client) StreamChat(ctx context.Context, o Options, chat Chat, onToken func(text string)) error {
	chat.Stream = true
	body, err := json.Marshal(chat)
	if err != nil {
		return err
	}
	resp, err := c.send(ctx, http.MethodPost, ChatPath, bytes.NewReader(body), o, jsonHeader())
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
		return parseRefusal(resp.StatusCode, text)
	}
	return readEvents(resp.Body, onToken)
}

func readEvents(body io.Reader, onToken func(string)) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		if strings.HasPrefix(data, `{"error"`) {
			return parseRefusal(http.StatusOK, []byte(data))
		}
		var chunk completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
			onToken(chunk.Choices[0].Delta.Content)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": []string{"application/json"}}
}
