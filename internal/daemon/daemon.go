// Package daemon holds the verbs that run nodes or stand-ins: the node itself, the
// stand-ins of the platform, the load driver and the demo.
//
// # Usage
//
//	status := command.Main(ctx, arguments, command.Options{Verbs: daemon.Verbs()})
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"yuccalanding.example/yuccalanding/internal/command"
)

// Times of the stand-ins' servers.
const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = time.Second
)

// Verbs returns the table of this package's verbs.
func Verbs() []command.Verb {
	return []command.Verb{nodeVerb, demoVerb, loadVerb, capacityVerb, standinLogVerb, standinVMListVerb, standinWorkerVerb}
}

// address is a flag with an IP address and a port.
type address struct{ netip.AddrPort }

// UnmarshalText reads "127.0.0.1:7000".
func (a *address) UnmarshalText(text []byte) error {
	parsed, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return fmt.Errorf("%q is not an IP address with a port, such as 127.0.0.1:7000", text)
	}
	a.AddrPort = parsed
	return nil
}

// serve serves a handler until ctx ends.
func serve(ctx context.Context, environment *command.Environment, what string, at netip.AddrPort, server *http.Server) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", at.String())
	if err != nil {
		return err
	}
	server.ReadHeaderTimeout = readHeaderTimeout
	environment.Progress("%s listens on %s", what, listener.Addr())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	stopContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(stopContext) != nil {
		_ = server.Close()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
