package capacity

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/membership"
)

// tableLayout returns the parts of a table that don't depend on the measurement: its
// header, and the first cell of each row.
func tableLayout(text string) []string {
	var lines []string
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		if i < 2 {
			lines = append(lines, line)
		} else {
			lines = append(lines, strings.Split(line, " | ")[0])
		}
	}
	return lines
}

// Guards against a page whose tables were edited by hand or were not generated
// again after a change of the program.
func TestPageHasTheGeneratedTables(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	measured, err := Measure(t.Context(), ShortPlan())
	require.NoError(t, err)
	for _, table := range measured.Tables() {
		text, found := GeneratedTable(string(page), table.Name)
		require.True(t, found, table.Name)
		require.Equal(t, tableLayout(table.Markdown()), tableLayout(text), "run \"make capacity\" to generate table %s again", table.Name)
		for _, row := range table.Rows {
			require.Len(t, row, len(table.Header), table.Name)
		}
	}
}

// Guards against growth of the traffic of an idle node. All its control traffic must
// stay within limitBytesPerSecond, each heartbeat within limitBytesPerSecond divided
// by the heartbeats a second, and the region link within limitLinkBytesPerSecond.
func TestIdleNodeStaysWithinItsLimit(t *testing.T) {
	const headerBytes = 100 // Approximate QUIC, UDP and IPv4 headers of a frame, which are 102 B at nine members.
	for name, size := range map[string]Size{
		"one team":   {Workers: 48, Teams: 1, Members: 9},
		"many teams": {Workers: 48, Teams: 15, Members: 9},
	} {
		t.Run(name, func(t *testing.T) {
			c, _, err := buildCell(size, time.Second, 1)
			require.NoError(t, err)
			m := c.measure(10)
			for i := range c.nodes {
				messages, bytes, _, _ := m.sendRates(i, anyClass)
				require.LessOrEqual(t, bytes+messages*headerBytes, limitBytesPerSecond, "node %d", i)
				heartbeats, heartbeatBytes, _, _ := m.sendRates(i, func(c costClass) bool { return c.label == "Heartbeat" })
				heartbeatsPerSecond := float64(size.Members-1) * float64(time.Second/membership.HeartbeatInterval)
				require.InDelta(t, heartbeatsPerSecond, heartbeats, 1)
				require.LessOrEqual(t, heartbeatBytes/heartbeats+headerBytes, limitBytesPerSecond/heartbeatsPerSecond)
			}
			_, _, linkMessages, linkBytes := m.sendRates(-1, anyClass)
			for direction := range 2 {
				require.LessOrEqual(t, linkBytes[direction]+linkMessages[direction]*headerBytes, limitLinkBytesPerSecond)
			}
		})
	}
}

// Guards against fakes that lose requests: the figures for work would then be
// those of refused requests.
func TestCellAnswersEveryRequest(t *testing.T) {
	s, err := measureSize(Size{Workers: 24, RunningTasks: 20, StartsPerSecond: 40, Teams: 3, Members: 9}, 2*time.Second, 5, 1)
	require.NoError(t, err)
	require.Empty(t, s.Refused)
	require.InDelta(t, 200, s.Answered, 5)
	require.LessOrEqual(t, s.UrgentWaitMS, float64(limitUrgentWaitMS))
}

// Guards against counts that differ between two runs with the same seed.
func TestCountsRepeatFromTheSeed(t *testing.T) {
	countSent := func() map[counterKey]*traffic {
		c, _, err := buildCell(Size{Workers: 12, RunningTasks: 10, StartsPerSecond: 20, Teams: 2, Members: 3}, time.Second, 7)
		require.NoError(t, err)
		return c.measure(3).sent
	}
	require.Equal(t, countSent(), countSent())
}

// Guards against inputs and messages that have no costClass and are therefore
// missing in the tables.
func TestEveryCountedLabelHasACostClass(t *testing.T) {
	c, _, err := buildCell(Size{Workers: 24, RunningTasks: 40, StartsPerSecond: 20, Teams: 3, Members: 9, OpenRequests: 10}, time.Second, 1)
	require.NoError(t, err)
	c.meter = newMeter()
	failures[3].inject(c)       // the loss of a failure domain
	c.advance(40 * time.Second) // includes the recovery, see failureWindowSeconds
	for k := range c.meter.steps {
		require.Contains(t, costClassByLabel, k.label)
	}
	require.Equal(t, labelIdleReport, labelOf(&control.WorkerReport{}))
}

// Guards against wrong slopes; all extrapolated figures depend on them.
func TestFit(t *testing.T) {
	for name, test := range map[string]struct {
		points []Point
		want   Line
	}{
		"exact":     {[]Point{{1, 5}, {2, 7}, {4, 11}}, Line{Slope: 2, Intercept: 3}},
		"one size":  {[]Point{{3, 1}, {3, 3}}, Line{Intercept: 2, Residual: 1}},
		"residual":  {[]Point{{0, 0}, {1, 3}, {2, 0}}, Line{Intercept: 1, Residual: 1.4142135623730951}},
		"no points": {nil, Line{}},
	} {
		t.Run(name, func(t *testing.T) {
			got := Fit(test.points)
			require.InDelta(t, test.want.Slope, got.Slope, 1e-9)
			require.InDelta(t, test.want.Intercept, got.Intercept, 1e-9)
			require.InDelta(t, test.want.Residual, got.Residual, 1e-9)
		})
	}
}

// Guards against an update that changes the prose, or that skips a table without
// an error.
func TestUpdate(t *testing.T) {
	table := Table{Name: "a", Header: []string{"x"}, Rows: [][]string{{"1"}}}
	begin, end := markers("a")
	updated, err := Update("before\n"+begin+"old\n"+end+"after\n", []Table{table})
	require.NoError(t, err)
	require.Equal(t, "before\n"+begin+"\n| x |\n|---|\n| 1 |\n\n"+end+"after\n", updated)
	_, err = Update("no markers", []Table{table})
	require.ErrorContains(t, err, "generated: a")
}
