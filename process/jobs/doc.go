// Package jobs runs the job scheduler's processes: the control process, whose
// leader accepts jobs, plans and sends orders, and the entry process, which
// forwards callers' requests to the leader.
//
// The leader works in rounds. A round collects callers' requests and workers'
// reports, plans on the applied state, puts the changes of both into one log
// entry, and acts on the entry's result once it is committed. No request is
// answered and no order is sent before that.
package jobs
