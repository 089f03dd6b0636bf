// Package settings reads what the balancer of one service is configured with, in both forms that there are: the platform's settings
// object, a JSON object under "settings" in a configuration file and in the simulator's first message, and a service's declaration in the
// operator's file.
//
// object.go holds the platform's object, declaration.go the operator's. All protocol adapters and the simulator's adapter read settings
// here and nowhere else. The package keeps no state; whether the values can be used is for balancer.Settings.Problems to say.
package settings

import (
	"time"

	"orchiddrift/balancer"
)

// Settings is the balancer's settings and what only a process with real connections needs beside them.
type Settings struct {
	balancer.Settings
	ConnIdleTimeout time.Duration // upstreams close connections that are idle for this long; 0: not given
	DrainGrace      time.Duration // from the notification of a change until nothing may be sent against it; 0: not given
	MaxPollAge      time.Duration // a polled list is valid for this long after the last poll, where no watch is connected; 0: not given
}
