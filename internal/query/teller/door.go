package teller

import (
	"context"
	"encoding/json"
	"net/http"

	"go.uber.org/zap"
)

// operatorHeader names the operator in a call.
const operatorHeader = "Operator"

// maxCommand bounds the body of a command, in bytes.
const maxCommand = 64 << 10

// Executor carries commands out.
type Executor interface {
	Execute(ctx context.Context, c Command) Reply
}

// NewDoor returns the handler of operators' commands, POST /v1/commands.
func NewDoor(executor Executor, log *zap.Logger) http.Handler {
	doors := http.NewServeMux()
	doors.HandleFunc("POST /v1/commands", func(w http.ResponseWriter, r *http.Request) {
		var command Command
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommand)).Decode(&command); err != nil {
			http.Error(w, "the command can't be read: "+err.Error(), http.StatusBadRequest)
			return
		}
		if name := r.Header.Get(operatorHeader); name != "" {
			command.Operator = name
		}
		reply := executor.Execute(r.Context(), command)
		log.Info("operator: A command was carried out.", zap.String("by", command.Operator), zap.String("text", command.Text),
			zap.Int("rows", len(reply.Table.Rows)), zap.Int("changes", len(reply.Outcomes)), zap.String("error", reply.Error))
		w.Header().Set("Content-Type", "application/json")
		// The operator may be gone, and there is nobody else to tell.
		_ = json.NewEncoder(w).Encode(reply)
	})
	return doors
}
