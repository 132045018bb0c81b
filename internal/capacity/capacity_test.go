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

// form returns the header and the first cells of a table, which do not depend
// on what was measured.
func form(text string) []string {
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

// Guards against a page whose tables were edited by hand or are left behind by
// a change of the program.
func TestPageHasTheGeneratedTables(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	measured, err := Measure(t.Context(), ShortPlan())
	require.NoError(t, err)
	for _, table := range measured.Tables() {
		text, found := Generated(string(page), table.Name)
		require.True(t, found, table.Name)
		require.Equal(t, form(table.Markdown()), form(text), "run make capacity to renew table %s", table.Name)
		for _, row := range table.Rows {
			require.Len(t, row, len(table.Header), table.Name)
		}
	}
}

// Guards against growth of what an idle node sends: each bound is the limit of
// 15 KB a second and what it leaves for one message of the kind.
func TestIdleNodeStaysWithinItsLimit(t *testing.T) {
	const perFrame = 100 // QUIC, UDP and IPv4 around a frame; 102 B were measured at nine members.
	for name, size := range map[string]Size{
		"one team":   {Workers: 48, Teams: 1, Members: 9},
		"many teams": {Workers: 48, Teams: 15, Members: 9},
	} {
		t.Run(name, func(t *testing.T) {
			c, _, err := build(size, time.Second, 1)
			require.NoError(t, err)
			m := c.measure(10)
			for i := range c.entries {
				messages, bytes, _, _ := m.perSecond(i, anyClass)
				require.LessOrEqual(t, bytes+messages*perFrame, limitBytes, "node %d", i)
				beats, beatBytes, _, _ := m.perSecond(i, func(c class) bool { return c.label == "Heartbeat" })
				perSecond := float64(size.Members-1) * float64(time.Second/membership.HeartbeatInterval)
				require.InDelta(t, perSecond, beats, 1)
				require.LessOrEqual(t, beatBytes/beats+perFrame, limitBytes/perSecond)
			}
			_, _, linkMessages, linkBytes := m.perSecond(-1, anyClass)
			for direction := range 2 {
				require.LessOrEqual(t, linkBytes[direction]+linkMessages[direction]*perFrame, limitLinkBytes)
			}
		})
	}
}

// Guards against a cell whose fakes lose requests, so that figures of work would
// be those of refusals.
func TestCellAnswersEveryRequest(t *testing.T) {
	s, err := sampleAt(Size{Workers: 24, Running: 20, Starts: 40, Teams: 3, Members: 9}, 2*time.Second, 5, 1)
	require.NoError(t, err)
	require.Empty(t, s.Refused)
	require.InDelta(t, 200, s.Answered, 5)
	require.LessOrEqual(t, s.UrgentWait, float64(limitUrgentWait))
}

// Guards against counts that differ between runs of one seed.
func TestCountsRepeatFromTheSeed(t *testing.T) {
	count := func() map[key]*traffic {
		c, _, err := build(Size{Workers: 12, Running: 10, Starts: 20, Teams: 2, Members: 3}, time.Second, 7)
		require.NoError(t, err)
		return c.measure(3).sent
	}
	require.Equal(t, count(), count())
}

// Guards against inputs and messages that no row of the split accounts for.
func TestEveryCountedLabelHasAClass(t *testing.T) {
	c, _, err := build(Size{Workers: 24, Running: 40, Starts: 20, Teams: 3, Members: 9, Open: 10}, time.Second, 1)
	require.NoError(t, err)
	c.meter = newMeter()
	failures[3].strike(c)
	c.run(40 * time.Second)
	for k := range c.meter.steps {
		require.Contains(t, classOf, k.label)
	}
	require.Equal(t, labelIdleReport, labelOf(&control.WorkerReport{}))
}

// Guards against wrong slopes, on which every figure at the target rests.
func TestFit(t *testing.T) {
	for name, test := range map[string]struct {
		points []Point
		want   Line
	}{
		"exact":    {[]Point{{1, 5}, {2, 7}, {4, 11}}, Line{Slope: 2, Intercept: 3}},
		"level":    {[]Point{{3, 1}, {3, 3}}, Line{Intercept: 2, Residual: 1}},
		"residual": {[]Point{{0, 0}, {1, 3}, {2, 0}}, Line{Intercept: 1, Residual: 1.4142135623730951}},
		"nothing":  {nil, Line{}},
	} {
		t.Run(name, func(t *testing.T) {
			got := Fit(test.points)
			require.InDelta(t, test.want.Slope, got.Slope, 1e-9)
			require.InDelta(t, test.want.Intercept, got.Intercept, 1e-9)
			require.InDelta(t, test.want.Residual, got.Residual, 1e-9)
		})
	}
}

// Guards against an update that damages the prose or drops a table silently.
func TestUpdate(t *testing.T) {
	table := Table{Name: "a", Header: []string{"x"}, Rows: [][]string{{"1"}}}
	begin, end := markers("a")
	updated, err := Update("before\n"+begin+"old\n"+end+"after\n", []Table{table})
	require.NoError(t, err)
	require.Equal(t, "before\n"+begin+"\n| x |\n|---|\n| 1 |\n\n"+end+"after\n", updated)
	_, err = Update("no markers", []Table{table})
	require.ErrorContains(t, err, "generated: a")
}
