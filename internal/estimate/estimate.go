// Package estimate corrects the declared run times and resources of tasks for
// each job class. It uses the observed run times of ended tasks and delayed
// usage reports. It also advises what to do with a task that uses more than its
// grant, which is the resources that it was placed with.
//
// # Usage
//
//	estimator := estimate.New(estimate.Options{})
//	engine := placement.New(placement.Options{Estimate: estimator.RunTime})
//	estimator.Started(now, task)
//	if advice := estimator.RecordUsage(now, task.ID, used, policy.Preemption); advice.Verb != "" {
//		// Throttle, checkpoint or stop the task, as advice.Verb says.
//	}
//	estimator.Ended(now, task.ID, placement.Completed)
//
// The correction of a class is a quantile of the observations, so that single
// outliers have no effect. The weight of an observation decays with time and
// with the number of newer observations. All tables are bounded.
package estimate

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Defaults of Options, and constants of the estimates.
const (
	DefaultMaxClasses = 1024
	DefaultMaxTasks   = 16_384
	// DefaultQuantile is above the median, because a task that backfills before
	// the start of a gang delays the gang if it exceeds its estimate.
	DefaultQuantile = 0.75
	DefaultHalfLife = 6 * time.Hour
	// minWeight is the total weight of observations below which the declared
	// value is used unchanged.
	minWeight = 5
	// resourceQuantile and resourceMargin are a compromise between overload and
	// the number of tasks that fit. When the declared resources were wrong by a
	// random factor of up to 5, quantiles of 0.5, 0.75 and 0.95 overloaded 72%,
	// 45% and 17% of the VMs and started 4257, 3267 and 2125 tasks.
	resourceQuantile = 0.75
	resourceMargin   = 1.1
	// maxCorrection is the largest factor by which a resource is increased or
	// reduced.
	maxCorrection = 8
)

// Options are fixed for the lifetime of an estimator. Zero fields take
// defaults.
type Options struct {
	// MaxClasses is the largest number of job classes in the table. MaxTasks is
	// the largest number of tasks that are tracked at a time.
	MaxClasses, MaxTasks int
	// Quantile is the part of the tasks, from 0 to 1, that end within the
	// estimated run time.
	Quantile float64
	// HalfLife is the age at which the weight of an observation is halved.
	HalfLife time.Duration
}

// class is the observations of one job class. The ratios are those of observed
// to declared values.
type class struct {
	name                    string
	runTimeMS, runTimeRatio histogram
	cpuRatio, memoryRatio   histogram
	newer, older            *class
}

// trackedTask is a task between its start and its end.
type trackedTask struct {
	task      placement.Task
	startedAt time.Time
	// reports is the number of usage reports. reportsOverGrant is the number
	// of the latest reports in a row that exceeded the grant.
	reports, reportsOverGrant int
	peak                      workload.Resources
	advised                   placement.Verb
}

// Estimator estimates the run times and resources of tasks. It is not safe for
// concurrent use.
type Estimator struct {
	options Options
	classes map[string]*class
	// newest and oldest are the ends of the list of classes in the order of
	// their last use.
	newest, oldest *class
	tasks          map[placement.TaskID]*trackedTask
}

// New returns an estimator without observations.
func New(options Options) *Estimator {
	if options.MaxClasses <= 0 {
		options.MaxClasses = DefaultMaxClasses
	}
	if options.MaxTasks <= 0 {
		options.MaxTasks = DefaultMaxTasks
	}
	if options.Quantile <= 0 || options.Quantile >= 1 {
		options.Quantile = DefaultQuantile
	}
	if options.HalfLife <= 0 {
		options.HalfLife = DefaultHalfLife
	}
	return &Estimator{options: options, classes: map[string]*class{}, tasks: map[placement.TaskID]*trackedTask{}}
}

func className(task *placement.Task) string {
	if task.Class != "" {
		return task.Class
	}
	return task.Kind
}

// classFor returns the class to add observations to, after reducing the weights
// of its older observations. If the class is new and the table is full, it
// replaces the least recently used class.
func (e *Estimator) classFor(now time.Time, name string) *class {
	c := e.classes[name]
	if c == nil {
		if len(e.classes) >= e.options.MaxClasses {
			delete(e.classes, e.oldest.name)
			e.unlink(e.oldest)
		}
		c = &class{name: name}
		e.classes[name] = c
	} else {
		e.unlink(c)
	}
	c.older = e.newest
	if e.newest != nil {
		e.newest.newer = c
	} else {
		e.oldest = c
	}
	e.newest = c
	for _, h := range []*histogram{&c.runTimeMS, &c.runTimeRatio, &c.cpuRatio, &c.memoryRatio} {
		h.decay(now, e.options.HalfLife)
	}
	return c
}

func (e *Estimator) unlink(c *class) {
	if c.newer != nil {
		c.newer.older = c.older
	} else {
		e.newest = c.older
	}
	if c.older != nil {
		c.older.newer = c.newer
	} else {
		e.oldest = c.newer
	}
	c.newer, c.older = nil, nil
}

// Started starts tracking a task. If MaxTasks tasks are tracked already, the
// task is ignored.
func (e *Estimator) Started(now time.Time, task placement.Task) {
	if len(e.tasks) < e.options.MaxTasks {
		e.tasks[task.ID] = &trackedTask{task: task, startedAt: now}
	}
}

// Ended adds the observations of a task to its class. Failed and lost tasks are
// ignored, because they say nothing about the class. A stopped or checkpointed
// task would have run longer, so it counts only if it had already exceeded its
// estimate and no advice was given for it.
func (e *Estimator) Ended(now time.Time, id placement.TaskID, outcome placement.Outcome) {
	tracked := e.tasks[id]
	if tracked == nil {
		return
	}
	delete(e.tasks, id)
	ran := now.Sub(tracked.startedAt)
	switch outcome {
	case placement.Completed:
	case placement.Stopped, placement.Checkpointed:
		if estimated := e.RunTime(tracked.task); tracked.advised != "" || estimated <= 0 || ran <= estimated {
			return
		}
	default:
		return
	}
	c := e.classFor(now, className(&tracked.task))
	c.runTimeMS.add(float64(ran) / float64(time.Millisecond))
	if tracked.task.RunTime > 0 {
		c.runTimeRatio.add(float64(ran) / float64(tracked.task.RunTime))
	}
	if tracked.reports > 0 && outcome == placement.Completed {
		c.cpuRatio.addRatio(tracked.peak.MilliCPU, tracked.task.Resources.MilliCPU)
		c.memoryRatio.addRatio(tracked.peak.MemoryMB, tracked.task.Resources.MemoryMB)
	}
}

// RunTime returns the corrected run time of a task, or 0 if nothing is known.
// It has the signature of placement.Options.Estimate.
func (e *Estimator) RunTime(task placement.Task) time.Duration {
	return e.RunTimeAt(task, e.options.Quantile)
}

// RunTimeAt returns the given quantile, from 0 to 1, of the run time of tasks
// like the given one. There are two predictions: the declared time multiplied by
// the quantile of the class's ratios, and the quantile of the class's run times.
// The one whose observations have the smaller spread is used.
func (e *Estimator) RunTimeAt(task placement.Task, quantile float64) time.Duration {
	c := e.classes[className(&task)]
	if c == nil || c.runTimeMS.total < minWeight {
		return task.RunTime
	}
	if task.RunTime > 0 && c.runTimeRatio.total >= minWeight && c.runTimeRatio.spread() <= c.runTimeMS.spread() {
		return time.Duration(float64(task.RunTime) * c.runTimeRatio.quantile(quantile))
	}
	return time.Duration(c.runTimeMS.quantile(quantile) * float64(time.Millisecond))
}

// Size returns the corrected resources of a task, limited to the largest grant
// that is possible. Accelerators are not corrected, because a task cannot use more
// of them than it was given.
func (e *Estimator) Size(task placement.Task, largest workload.Resources) workload.Resources {
	corrected := task.Resources
	if c := e.classes[className(&task)]; c != nil {
		corrected.MilliCPU = c.cpuRatio.correct(corrected.MilliCPU)
		corrected.MemoryMB = c.memoryRatio.correct(corrected.MemoryMB)
	}
	corrected.MilliCPU, corrected.MemoryMB = min(corrected.MilliCPU, largest.MilliCPU), min(corrected.MemoryMB, largest.MemoryMB)
	return corrected
}

// Classes returns the number of classes in the table.
func (e *Estimator) Classes() int { return len(e.classes) }
