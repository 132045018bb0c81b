package workervm

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Fleet is a set of workers that this process serves.
type Fleet struct {
	VMs []*VM
	// Addresses are the addresses of VMs, in the same order.
	Addresses []netip.AddrPort
	// Done receives one value when all workers have ended: the first error of
	// an HTTP server, or nil.
	Done <-chan error
}

// Serve starts one worker for each of the options, each on a free port of
// 127.0.0.1, and serves them in the background until ctx is done. It returns an
// error if a port can't be opened; no worker runs then.
func Serve(ctx context.Context, options []Options) (*Fleet, error) {
	fleet := &Fleet{}
	var listeners []net.Listener
	for _, vmOptions := range options {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, err
		}
		listeners = append(listeners, listener)
		fleet.VMs = append(fleet.VMs, New(vmOptions))
		fleet.Addresses = append(fleet.Addresses, netip.MustParseAddrPort(listener.Addr().String()))
	}
	ended := make(chan error, len(options))
	for i, vm := range fleet.VMs {
		go func() { ended <- serveVM(ctx, vm, listeners[i]) }()
	}
	done := make(chan error, 1)
	fleet.Done = done
	go func() {
		var firstErr error
		for range options {
			if err := <-ended; err != nil && firstErr == nil {
				firstErr = err
			}
		}
		done <- firstErr
	}()
	return fleet, nil
}

// serveVM serves one worker and returns when all its goroutines have ended.
func serveVM(ctx context.Context, vm *VM, listener net.Listener) error {
	server := &http.Server{Handler: vm, ConnContext: vm.ConnContext, ReadHeaderTimeout: 10 * time.Second}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	runEnded, closeEnded := make(chan struct{}), make(chan struct{})
	go func() { defer close(runEnded); vm.Run(ctx) }()
	go func() { defer close(closeEnded); <-ctx.Done(); _ = server.Close() }()
	err := server.Serve(listener)
	cancel()
	<-runEnded
	<-closeEnded
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
