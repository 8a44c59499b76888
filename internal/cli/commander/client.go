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

	"lentilrock.example/internal/node/listener"
	"lentilrock.example/internal/query/executor"
)

// target says which entry host a command talks to.
type target struct {
	Host     netip.AddrPort `required:"" env:"LENTILROCK_HOST" help:"Address of an entry host, such as 127.0.0.1:7100."`
	Operator string         `env:"LENTILROCK_OPERATOR" help:"Name for the audit trail; the user's name where not given."`
}

func (t target) operator() string {
	if t.Operator != "" {
		return t.Operator
	}
	if present, err := user.Current(); err == nil {
		return present.Username
	}
	return ""
}

// execute sends a statement to the host.
func (t target) execute(ctx context.Context, command executor.Command) (executor.Reply, error) {
	body, err := json.Marshal(command)
	if err != nil {
		return executor.Reply{}, errors.Errorf("encode command: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+t.Host.String()+"/v1/commands", bytes.NewReader(body))
	if err != nil {
		return executor.Reply{}, errors.Errorf("make request: %w", err)
	}
	request.Header.Set(listener.HeaderOperator, t.operator())
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return executor.Reply{}, errors.Errorf("reach host %s: %w", t.Host, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(answer.Body)
		return executor.Reply{}, errors.Newf("host %s answered %s: %s", t.Host, answer.Status, bytes.TrimSpace(text))
	}
	var reply executor.Reply
	err = json.NewDecoder(answer.Body).Decode(&reply)
	return reply, errors.Wrap(err, "decode reply")
}
