package inferrer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/standin/responder"
)

const finishLength = "length"

// A completionAnswer is a whole answer, or one event of a stream.
type completionAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type errorAnswer struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
}

// ChatPrompt returns the prompt that is equivalent to the messages of a chat.
func ChatPrompt(messages []ChatMessage) string {
	var prompt strings.Builder
	for _, m := range messages {
		prompt.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return prompt.String()
}

// Token returns the token with the given number, counted from 1, of the answer to a prompt.
func Token(deployment, adapter, prompt string, number int) string {
	hash := xxhash.Sum64String(fmt.Sprintf("%s\n%s\n%d\n%s", deployment, adapter, number, prompt))
	return fmt.Sprintf("%08x ", uint32(hash))
}

// Text returns the first tokens of the answer to a prompt.
func Text(deployment, adapter, prompt string, tokens int) string {
	var text strings.Builder
	for number := 1; number <= tokens; number++ {
		text.WriteString(Token(deployment, adapter, prompt, number))
	}
	return text.String()
}

// answer waits for all tokens and writes a whole answer. It returns false if the caller has disconnected or the
// instance has ended.
func (c *completion) answer(w http.ResponseWriter, r *http.Request) bool {
	tokens := c.request.MaxTokens
	if !c.instance.sleep(r.Context().Done(), time.Duration(tokens)*c.instance.engine.TokenInterval) {
		return false
	}
	text := Text(c.replica.order.Deployment, c.adapter, c.prompt, tokens)
	finish := finishLength
	answer := completionAnswer{ID: c.id, Object: "text_completion", Model: c.request.Model}
	answer.Choices = []choice{{Text: text, FinishReason: &finish}}
	if c.chat {
		answer.Object = "chat.completion"
		answer.Choices = []choice{{Message: &ChatMessage{"assistant", text}, FinishReason: &finish}}
	}
	words := len(strings.Fields(c.prompt))
	answer.Usage = &usage{words, tokens, words + tokens}
	responder.WriteJSON(w, http.StatusOK, answer)
	return true
}

// event returns one event of a stream.
func (c *completion) event(number int) completionAnswer {
	var finish *string
	if number == c.request.MaxTokens {
		reason := finishLength
		finish = &reason
	}
	token := Token(c.replica.order.Deployment, c.adapter, c.prompt, number)
	answer := completionAnswer{ID: c.id, Object: "text_completion", Model: c.request.Model}
	answer.Choices = []choice{{Text: token, FinishReason: finish}}
	if c.chat {
		answer.Object = "chat.completion.chunk"
		answer.Choices = []choice{{Delta: &ChatMessage{"assistant", token}, FinishReason: finish}}
	}
	return answer
}

// stream writes a token at a time as server-sent events. It returns false if the stream ended early.
func (c *completion) stream(w http.ResponseWriter, r *http.Request) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	controller := http.NewResponseController(w)
	for number := c.resumeFrom + 1; number <= c.request.MaxTokens; number++ {
		if !c.instance.sleep(r.Context().Done(), c.instance.engine.TokenInterval) {
			return false
		}
		data, err := json.Marshal(c.event(number))
		if err != nil {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, data); err != nil || controller.Flush() != nil {
			return false
		}
		faults, _ := c.instance.engine.currentFaults()
		if faults.CutStreamsAfter > 0 && number-c.resumeFrom >= faults.CutStreamsAfter {
			c.countCut()
			responder.Drop(w)
			return false
		}
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	return err == nil
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
