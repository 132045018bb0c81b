// Package estimate corrects declared run times and sizes per job class. It
// learns from ended tasks and from usage reports that lag, and advises what to
// do with a task that outgrows its grant.
//
// # Usage
//
//	estimator := estimate.New(estimate.Options{})
//	engine := placement.New(placement.Options{Estimate: estimator.RunTime})
//	estimator.Started(now, task)
//	if advice := estimator.Usage(now, task.ID, used, policy.Preemption); advice.Verb != "" {
//		// Throttle, checkpoint or stop the task, as advice.Verb says.
//	}
//	estimator.Ended(now, task.ID, placement.Completed)
//
// The correction of a class is a quantile of what was observed, so that single
// outliers have no effect. Old observations lose weight with time and with
// newer observations. All tables are bounded.
package estimate

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Defaults and bounds.
const (
	DefaultMaxClasses = 1024
	DefaultMaxTasks   = 16_384
	// DefaultQuantile lies above the median because a task that is placed
	// before a gang's start and overruns delays the gang.
	DefaultQuantile = 0.75
	DefaultHalfLife = 6 * time.Hour
	// minSamples is the weight of observations below which the declaration is
	// used as it is.
	minSamples = 5
	// sizeQuantile and sizeMargin are a middle way: with sizes wrong by up to 5
	// times at random, quantiles of 0.5, 0.75 and 0.95 left 72%, 45% and 17% of
	// VMs used above their capacity and started 4257, 3267 and 2125 tasks.
	sizeQuantile = 0.75
	sizeMargin   = 1.1
	// largestCorrection bounds how far a size is corrected either way.
	largestCorrection = 8
)

// Options are fixed for the life of an estimator; zero fields take defaults.
type Options struct {
	MaxClasses, MaxTasks int
	// Quantile is the part of tasks, from 0 to 1, that end within the estimate.
	Quantile float64
	// HalfLife is the age at which an observation has lost half its weight.
	HalfLife time.Duration
}

// class is what was observed of one job class. Ratios are observed to declared.
type class struct {
	name               string
	runTime, ratio     histogram
	milliCPU, memoryMB histogram
	newer, older       *class
}

// running is a task between its start and its end.
type running struct {
	task      placement.Task
	startedAt time.Time
	// reported counts the usage reports, over those in a row above the grant.
	reported, over int
	peak           workload.Resources
	advised        placement.Verb
}

// Estimator is not safe for use by several goroutines.
type Estimator struct {
	options Options
	classes map[string]*class
	// newest and oldest are the ends of the list of classes by last use.
	newest, oldest *class
	tasks          map[placement.TaskID]*running
}

// New returns an estimator that has observed nothing.
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
	return &Estimator{options: options, classes: map[string]*class{}, tasks: map[placement.TaskID]*running{}}
}

func className(task *placement.Task) string {
	if task.Class != "" {
		return task.Class
	}
	return task.Kind
}

// learn returns the class to add observations to. The class that was not used
// for longest makes room for a new one.
func (e *Estimator) learn(now time.Time, name string) *class {
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
	for _, h := range []*histogram{&c.runTime, &c.ratio, &c.milliCPU, &c.memoryMB} {
		h.age(now, e.options.HalfLife)
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

// Started begins to follow a task. Beyond MaxTasks a task is not followed.
func (e *Estimator) Started(now time.Time, task placement.Task) {
	if len(e.tasks) < e.options.MaxTasks {
		e.tasks[task.ID] = &running{task: task, startedAt: now}
	}
}

// Ended learns from a task. A failed or lost task says nothing about its
// class. A task that was stopped or checkpointed would have run longer, so it
// counts only when it has already exceeded the estimate.
func (e *Estimator) Ended(now time.Time, id placement.TaskID, outcome placement.Outcome) {
	r := e.tasks[id]
	if r == nil {
		return
	}
	delete(e.tasks, id)
	ran := now.Sub(r.startedAt)
	switch outcome {
	case placement.Completed:
	case placement.Stopped, placement.Checkpointed:
		if estimated := e.RunTime(r.task); r.advised != "" || estimated <= 0 || ran <= estimated {
			return
		}
	default:
		return
	}
	c := e.learn(now, className(&r.task))
	c.runTime.add(float64(ran) / float64(time.Millisecond))
	if r.task.RunTime > 0 {
		c.ratio.add(float64(ran) / float64(r.task.RunTime))
	}
	if r.reported > 0 && outcome == placement.Completed {
		c.milliCPU.addRatio(r.peak.MilliCPU, r.task.Resources.MilliCPU)
		c.memoryMB.addRatio(r.peak.MemoryMB, r.task.Resources.MemoryMB)
	}
}

// RunTime returns the corrected run time of a task and 0 if nothing is known.
// It has the form of placement.Options.Estimate.
func (e *Estimator) RunTime(task placement.Task) time.Duration {
	return e.RunTimeAt(task, e.options.Quantile)
}

// RunTimeAt returns the time within which the given part of such tasks ends.
// Of the two predictions, declared time corrected by the usual ratio and usual
// time of the class, it takes the one that varies less.
func (e *Estimator) RunTimeAt(task placement.Task, quantile float64) time.Duration {
	c := e.classes[className(&task)]
	if c == nil || c.runTime.total < minSamples {
		return task.RunTime
	}
	if task.RunTime > 0 && c.ratio.total >= minSamples && c.ratio.spread() <= c.runTime.spread() {
		return time.Duration(float64(task.RunTime) * c.ratio.quantile(quantile))
	}
	return time.Duration(c.runTime.quantile(quantile) * float64(time.Millisecond))
}

// Size returns the corrected size of a task, at most the given largest grant.
// Accelerators are taken as declared: a task can't use more than it was given.
func (e *Estimator) Size(task placement.Task, largest workload.Resources) workload.Resources {
	size := task.Resources
	if c := e.classes[className(&task)]; c != nil {
		size.MilliCPU = c.milliCPU.correct(size.MilliCPU)
		size.MemoryMB = c.memoryMB.correct(size.MemoryMB)
	}
	size.MilliCPU, size.MemoryMB = min(size.MilliCPU, largest.MilliCPU), min(size.MemoryMB, largest.MemoryMB)
	return size
}

// Classes returns the number of classes in the table.
func (e *Estimator) Classes() int { return len(e.classes) }
