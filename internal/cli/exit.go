package cli

import (
	"errors"
	"fmt"
	"net"

	"connectrpc.com/connect"
)

// ExitCode tells the outcome of a command to scripts.
type ExitCode int

// Exit codes.
const (
	// ExitDone says that the command did what was asked.
	ExitDone ExitCode = iota
	// ExitFailed says that it was refused or failed, and nothing was changed.
	ExitFailed
	// ExitUsage says that the command line is wrong.
	ExitUsage
	// ExitNotRun says that the node was not reached or had no room, and nothing was changed.
	ExitNotRun
	// ExitUnknown says that what was asked may have been done.
	ExitUnknown
	// ExitCancelled says that the request was cancelled.
	ExitCancelled
)

// exitError is an error with its exit code.
type exitError struct {
	code    ExitCode
	message string
}

// Error returns the message.
func (e *exitError) Error() string {
	return e.message
}

func usageError(format string, arguments ...any) error {
	return &exitError{code: ExitUsage, message: fmt.Sprintf(format, arguments...)}
}

// refusals are the codes by which a node says that it did nothing.
var refusals = map[connect.Code]bool{
	connect.CodeInvalidArgument:    true,
	connect.CodeNotFound:           true,
	connect.CodeAlreadyExists:      true,
	connect.CodePermissionDenied:   true,
	connect.CodeUnauthenticated:    true,
	connect.CodeFailedPrecondition: true,
	connect.CodeOutOfRange:         true,
	connect.CodeUnimplemented:      true,
}

// changeError gives the error of a call that changes something its exit code. Unless it is known that nothing was
// changed, the outcome is unknown.
func changeError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: changeExit(err), message: err.Error()}
}

func changeExit(err error) ExitCode {
	code := connect.CodeOf(err)
	switch {
	case neverConnected(err):
		return ExitNotRun
	case !connect.IsWireError(err):
		return ExitUnknown
	case refusals[code]:
		return ExitFailed
	case code == connect.CodeResourceExhausted:
		return ExitNotRun
	default:
		return ExitUnknown
	}
}

// readError gives the error of a call that changes nothing its exit code.
func readError(err error) error {
	if err == nil {
		return nil
	}
	if neverConnected(err) {
		return &exitError{code: ExitNotRun, message: err.Error()}
	}
	return &exitError{code: ExitFailed, message: err.Error()}
}

// neverConnected tells whether no connection to the node came about.
func neverConnected(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
