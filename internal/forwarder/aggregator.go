package forwarder

import (
	"encoding/json"

	"papayapaddle/internal/failer"
)

// chunk holds the fields of an event that StreamAggregator reads.
type chunk struct {
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	Delta *delta `json:"delta,omitempty"`
}

type delta struct {
	Content string `json:"content"`
}

// StreamAggregator combines the events of a stream into one response, for a caller that did not
// request a stream. The zero value is empty.
type StreamAggregator struct {
	texts  []string
	isChat bool
	usage  json.RawMessage
	size   int
}

// AddEvent adds one event. It returns an error if the event is not a valid chunk, or if the
// response exceeds MaxBufferedBytes.
func (a *StreamAggregator) AddEvent(e Event) error {
	var c chunk
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return failer.Wrap("join", KindResponseLost, err)
	}
	for _, choice := range c.Choices {
		if choice.Index < 0 || choice.Index > maxChoiceIndex {
			return failer.New("join", KindResponseLost, "choice index out of range")
		}
		for len(a.texts) <= choice.Index {
			a.texts = append(a.texts, "")
		}
		text := choice.Text
		if choice.Delta != nil {
			a.isChat = true
			text = choice.Delta.Content
		}
		a.texts[choice.Index] += text
		a.size += len(text)
	}
	if a.size > MaxBufferedBytes {
		return failer.New("join", KindResponseLost, "the answer is too large to be held")
	}
	if c.Usage != nil {
		a.usage = c.Usage
	}
	return nil
}

// maxChoiceIndex bounds the index of a choice in a response.
const maxChoiceIndex = 128

// completion is the response to a request that is not streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   any                `json:"usage"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         string             `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// ResponseBody returns the response as JSON. tokens is reported as usage unless the engine
// reported its own.
func (a *StreamAggregator) ResponseBody(id, model string, tokens int) []byte {
	response := completion{
		ID: id, Object: "text_completion", Model: model, Usage: completionUsage{CompletionTokens: tokens},
	}
	if a.usage != nil {
		response.Usage = a.usage
	}
	for i, text := range a.texts {
		choice := completionChoice{Index: i, Text: text, FinishReason: "stop"}
		if a.isChat {
			response.Object = "chat.completion"
			choice.Text = ""
			choice.Message = &completionMessage{Role: "assistant", Content: text}
		}
		response.Choices = append(response.Choices, choice)
	}
	b, err := json.Marshal(response)
	if err != nil {
		// Not reached: the fields are strings, numbers and valid JSON.
		return nil
	}
	return b
}
