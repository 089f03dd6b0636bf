// Package settings reads the configuration of one service's balancer in both of its forms: the platform's settings object, which is a JSON
// object under "settings" in a configuration file and in the simulator's first message, and a service's declaration in the operator's file.
//
// object.go holds the platform's object, declaration.go the operator's. All protocol adapters and the simulator's adapter read settings
// with this package. It keeps no state. balancer.Settings.Problems checks whether the values can be used.
package settings

import (
	"time"

	"orchiddrift/balancer"
)

// Settings is the balancer's settings together with those that only a process with real connections needs.
type Settings struct {
	balancer.Settings
	ConnIdleTimeout time.Duration // upstreams close connections that are idle for this long; 0 if not given
	DrainGrace      time.Duration // time after the notification of a change by which requests must comply with it; 0 if not given
	MaxPollAge      time.Duration // how long a polled list is valid after the last poll if no watch is connected; 0 if not given
}
