package vmlist_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/standin/vmlistservice"
	"yuccalanding.example/yuccalanding/internal/vmlist"
)

const waitTimeout = 5 * time.Second

func newVM(i int) vmlist.VM {
	return vmlist.VM{
		Name: fmt.Sprintf("w-%d", i), Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)),
		Region: "punjab", FailureDomain: "lahore", Rack: "r-1",
	}
}

func newList(count int) (vms []vmlist.VM) {
	for i := range count {
		vms = append(vms, newVM(i))
	}
	return vms
}

// startPolling serves a list of five VMs and waits until the poller has fetched it.
func startPolling(t *testing.T) (service *vmlistservice.Service, poller *vmlist.Poller, changes *atomic.Int32) {
	service, changes = vmlistservice.New(vmlistservice.Options{}), &atomic.Int32{}
	require.NoError(t, service.Set(newList(5)))
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	poller = vmlist.New(vmlist.Options{
		Address:  netip.MustParseAddrPort(server.Listener.Addr().String()),
		Interval: 10 * time.Millisecond, Timeout: 200 * time.Millisecond,
		OnChange: func(vmlist.List) { changes.Add(1) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); poller.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	require.Eventually(t, func() bool { return poller.Current().Err == nil }, waitTimeout, time.Millisecond)
	return service, poller, changes
}

// Guards against an outage of the service that empties the list or resets its age,
// and against a poller that does not recover from it.
func TestOutageKeepsLastList(t *testing.T) {
	for name, fault := range map[string]vmlistservice.Fault{
		"refused":      {Outage: true},
		"no answer":    {Unresponsive: true},
		"invalid body": {TruncatedBody: true},
	} {
		t.Run(name, func(t *testing.T) {
			service, poller, changes := startPolling(t)
			service.SetFault(fault)
			require.Eventually(t, func() bool { return poller.Current().Err != nil }, waitTimeout, time.Millisecond)
			fetched := poller.Current().FetchedAt
			time.Sleep(50 * time.Millisecond)
			list := poller.Current()
			require.Equal(t, newList(5), list.VMs)
			require.Equal(t, fetched, list.FetchedAt)
			require.GreaterOrEqual(t, list.Age(time.Now()), 50*time.Millisecond)
			service.SetFault(vmlistservice.Fault{})
			require.Eventually(t, func() bool { return poller.Current().Err == nil }, waitTimeout, time.Millisecond)
			require.True(t, poller.Current().FetchedAt.After(fetched))
			// One call for the first list, and one each for the start and the end of the
			// outage.
			require.Eventually(t, func() bool { return changes.Load() == 3 }, waitTimeout, time.Millisecond)
		})
	}
}

// Guards against an invalid entry that affects the others, removes a VM that is in
// use, or is not reported.
func TestInvalidEntriesAreReported(t *testing.T) {
	service, poller, _ := startPolling(t)
	service.SetFault(vmlistservice.Fault{InvalidEntries: 4})
	require.Eventually(t, func() bool { return len(poller.Current().Findings) > 0 }, waitTimeout, time.Millisecond)
	list := poller.Current()
	// The entry vms[3] is not an object and has no name, so that w-3 is missing.
	require.Equal(t, []vmlist.VM{newVM(0), newVM(1), newVM(2), newVM(4)}, list.VMs)
	places := map[string]bool{}
	for _, finding := range list.Findings {
		places[finding.Place] = true
	}
	for _, place := range []string{"vms[0].address", "vms[1]", "vms[2].region", "vms[3]"} {
		require.True(t, places[place], "%s is not among %v", place, list.Findings)
	}
	require.NoError(t, list.Err)
}

// Guards against two accepted entries with the same name or address, through which
// one VM could get two owners.
func TestDuplicatesAreReported(t *testing.T) {
	for name, test := range map[string]struct {
		change func(vm *vmlist.VM)
		place  string
	}{
		"name":    {func(vm *vmlist.VM) { vm.Name = "w-0" }, "vms[5].name"},
		"address": {func(vm *vmlist.VM) { vm.Address = newVM(0).Address }, "vms[5].address"},
	} {
		t.Run(name, func(t *testing.T) {
			service, poller, _ := startPolling(t)
			vms := newList(6)
			test.change(&vms[5])
			require.NoError(t, service.Set(vms))
			require.Eventually(t, func() bool { return len(poller.Current().Findings) > 0 }, waitTimeout, time.Millisecond)
			require.Equal(t, newList(5), poller.Current().VMs)
			require.Equal(t, test.place, poller.Current().Findings[0].Place)
		})
	}
}

// Guards against a leaving VM that the poller detects late or never, and against a
// stand-in service that ignores its configured lag.
func TestChangesArriveAfterTheLag(t *testing.T) {
	service, poller, _ := startPolling(t)
	const lag = 200 * time.Millisecond
	service.SetFault(vmlistservice.Fault{LagMS: lag.Milliseconds()})
	vms := newList(5)
	vms[2].Leaving = true
	startedAt := time.Now()
	require.NoError(t, service.Set(vms))
	require.Eventually(t, func() bool { list := poller.Current(); return len(list.VMs) == 5 && list.VMs[2].Leaving }, waitTimeout, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(startedAt), lag)
}

// Guards against an unbounded number of findings from a list of invalid entries.
func TestFindingsAreBounded(t *testing.T) {
	service, poller, _ := startPolling(t)
	require.NoError(t, service.Set(make([]vmlist.VM, 500)))
	require.Eventually(t, func() bool { return len(poller.Current().Findings) > 0 }, waitTimeout, time.Millisecond)
	require.Len(t, poller.Current().Findings, vmlist.MaxFindings)
}
