package e2e

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
)

// answer is the status and the decoded body of a node's response.
type answer struct {
	Status    int
	Snapshot  string `json:"snapshot"`
	Kind      string `json:"kind"`
	Message   string `json:"message"`
	Run       string `json:"run"`
	Ticket    string `json:"ticket"`
	Replayed  bool   `json:"replayed"`
	MayResend bool   `json:"may_resend"`
	Coverage  struct {
		Known   bool
		Covered uint32
		Total   uint32
		Missing []struct {
			Leaf, Reason string
			From, To     uint32
		}
	} `json:"coverage"`
	Hits []struct {
		ID   string
		Body string
	} `json:"hits"`
}

// post sends a request to the node and decodes the answer.
func (p *process) post(path string, body string, headers map[string]string) (*answer, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.settings.HTTPListen+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	a := &answer{Status: response.StatusCode}
	return a, json.Unmarshal(data, a)
}
