package processor

import (
	"context"
	"encoding/json"
	"net/http"

	"go.uber.org/zap"
)

// operatorHeader is the request header with the name of the operator. It overrides the name in
// the body.
const operatorHeader = "Operator"

// maxCommandBytes limits the size of the body of a command.
const maxCommandBytes = 64 << 10

// Executor executes commands of operators.
type Executor interface {
	// Execute executes one command. A failure is reported in the Error field of the reply.
	Execute(ctx context.Context, c Command) Reply
}

// NewHandler returns the HTTP handler for operators' commands, POST /v1/commands. It replies with
// status 400 to a body that is not a JSON command or exceeds 64 KiB, and otherwise with status 200
// and the Reply as JSON, also when the command failed.
func NewHandler(executor Executor, log *zap.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/commands", func(w http.ResponseWriter, r *http.Request) {
		var command Command
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes)).Decode(&command); err != nil {
			http.Error(w, "the command can't be read: "+err.Error(), http.StatusBadRequest)
			return
		}
		if name := r.Header.Get(operatorHeader); name != "" {
			command.Operator = name
		}
		reply := executor.Execute(r.Context(), command)
		log.Info("operator: Command executed.", zap.String("by", command.Operator), zap.String("text", command.Text),
			zap.Int("rows", len(reply.Table.Rows)), zap.Int("changes", len(reply.Outcomes)), zap.String("error", reply.Error))
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has closed the connection, so it can't be reported.
		_ = json.NewEncoder(w).Encode(reply)
	})
	return mux
}
