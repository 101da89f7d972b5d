// Package byhand runs the stand-ins as processes of their own: the platform's services, the engines of a pool, and the
// trainer of a workload. Each is started by a subcommand of hillfork-lab, so that every program can be run by hand.
package byhand
