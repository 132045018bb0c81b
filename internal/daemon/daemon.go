// Package daemon implements the verbs that run a server or a cluster in this
// process: the node, the stand-ins of the platform, the load generator, the
// capacity measurement and the demo.
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

// Timeouts of the HTTP servers of the stand-ins.
const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = time.Second
)

// Verbs returns the verbs of this package for command.Options.
func Verbs() []command.Verb {
	return []command.Verb{nodeVerb, demoVerb, loadVerb, capacityVerb, standinLogVerb, standinVMListVerb, standinWorkerVerb}
}

// address is the value of a flag that takes an IP address and a port.
type address struct{ netip.AddrPort }

// UnmarshalText parses an address such as "127.0.0.1:7000".
func (a *address) UnmarshalText(text []byte) error {
	parsed, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return fmt.Errorf("%q is not an IP address with a port, such as 127.0.0.1:7000", text)
	}
	a.AddrPort = parsed
	return nil
}

// serve runs server on listenAddress until ctx ends, and then waits up to
// shutdownTimeout for open calls. name is the server's name in progress messages.
func serve(ctx context.Context, environment *command.Environment, name string, listenAddress netip.AddrPort, server *http.Server) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listenAddress.String())
	if err != nil {
		return err
	}
	server.ReadHeaderTimeout = readHeaderTimeout
	environment.Progress("%s listens on %s", name, listener.Addr())
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	shutdownContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownContext) != nil {
		_ = server.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
