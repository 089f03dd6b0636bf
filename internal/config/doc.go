// Package config reads the configuration files of a process, reports all problems in them, and makes the plan that a daemon runs.
//
// A process reads one or two files. platform.go reads the platform's JSON file, which describes one service; file.go declares the
// operator's TOML file, which describes the process and any number of services. load.go distinguishes the two and reads them.
// platform_plan.go makes the plan of the platform's file, file_plan.go the plan of the operator's file, alone or beside the platform's.
// plugin.go reads the files of the balancer inside gRPC clients. problem.go holds the error type of all checks.
//
// Each part of the operator's file is declared and checked by the package that it configures; this package checks the references
// between the parts. It opens no connection, starts nothing and keeps no state.
package config
