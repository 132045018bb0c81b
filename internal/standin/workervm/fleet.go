package workervm

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Fleet is a number of workers in one process.
type Fleet struct {
	VMs       []*VM
	Addresses []netip.AddrPort
	// Done receives one value when all workers have ended: the first failure
	// of a server, or nil.
	Done <-chan error
}

// Serve serves one worker for each of the options, each on a free port of
// 127.0.0.1, until ctx ends.
func Serve(ctx context.Context, options []Options) (*Fleet, error) {
	fleet := &Fleet{}
	var listeners []net.Listener
	for _, each := range options {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, err
		}
		listeners = append(listeners, listener)
		fleet.VMs = append(fleet.VMs, New(each))
		fleet.Addresses = append(fleet.Addresses, netip.MustParseAddrPort(listener.Addr().String()))
	}
	ended := make(chan error, len(options))
	for i, vm := range fleet.VMs {
		go func() { ended <- serveOne(ctx, vm, listeners[i]) }()
	}
	done := make(chan error, 1)
	fleet.Done = done
	go func() {
		var first error
		for range options {
			if err := <-ended; err != nil && first == nil {
				first = err
			}
		}
		done <- first
	}()
	return fleet, nil
}

// serveOne serves one worker and returns after all its goroutines ended.
func serveOne(ctx context.Context, vm *VM, listener net.Listener) error {
	server := &http.Server{Handler: vm, ConnContext: vm.ConnContext, ReadHeaderTimeout: 10 * time.Second}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ran, closed := make(chan struct{}), make(chan struct{})
	go func() { defer close(ran); vm.Run(ctx) }()
	go func() { defer close(closed); <-ctx.Done(); _ = server.Close() }()
	err := server.Serve(listener)
	cancel()
	<-ran
	<-closed
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
