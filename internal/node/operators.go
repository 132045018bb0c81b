package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// newOperator serves the operators' address.
func (p *Process) newOperator(ctx context.Context) (func(context.Context) error, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.options.Settings.Addresses.Operators.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, r *http.Request) {
		dump, err := p.Dump(r.Context())
		if err != nil {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(dump)
	})
	mux.HandleFunc("POST /drain", func(http.ResponseWriter, *http.Request) { p.Drain() })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return func(ctx context.Context) error {
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(listener) }()
		select {
		case err := <-ended:
			return err
		case <-ctx.Done():
			_ = server.Close()
			<-ended
			return nil
		}
	}, nil
}
