package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os/user"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/node/handler"
	"lentilrock.example/internal/query/executor"
)

// target has the flags that select the entry host to connect to and the operator's name.
type target struct {
	Host     netip.AddrPort `required:"" env:"LENTILROCK_HOST" help:"Address of an entry host, such as 127.0.0.1:7100."`
	Operator string         `env:"LENTILROCK_OPERATOR" help:"Operator name for the audit trail; defaults to the system user."`
}

// operator returns the operator's name: the flag, else the name of the system user, else "".
func (t target) operator() string {
	if t.Operator != "" {
		return t.Operator
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}

// execute sends a command to the entry host and returns its reply.
func (t target) execute(ctx context.Context, command executor.Command) (executor.Reply, error) {
	body, err := json.Marshal(command)
	if err != nil {
		return executor.Reply{}, errors.Errorf("encode command: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+t.Host.String()+"/v1/commands", bytes.NewReader(body))
	if err != nil {
		return executor.Reply{}, errors.Errorf("create request: %w", err)
	}
	request.Header.Set(handler.HeaderOperator, t.operator())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return executor.Reply{}, errors.Errorf("reach host %s: %w", t.Host, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return executor.Reply{}, errors.Newf("host %s replied with status %s: %s", t.Host, response.Status, bytes.TrimSpace(text))
	}
	var reply executor.Reply
	err = json.NewDecoder(response.Body).Decode(&reply)
	return reply, errors.Wrap(err, "decode reply")
}
