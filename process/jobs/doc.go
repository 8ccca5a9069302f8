// Package jobs drives the job cores: the control process's leader, which accepts
// jobs, plans and orders, and the entry process, which passes callers' requests on.
//
// The leader works in rounds: it collects what callers and workers say, plans on
// the applied state, puts both into one log entry and acts on the entry's result
// once it is committed. Nothing is answered and no order is sent before that.
package jobs
