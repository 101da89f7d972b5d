package cli

import (
	"errors"
	"fmt"
	"net"

	"connectrpc.com/connect"
)

// ExitCode reports the outcome of a command to scripts.
type ExitCode int

// Exit codes.
const (
	// ExitDone means that the command succeeded.
	ExitDone ExitCode = iota
	// ExitFailed means that the command was refused or failed, and nothing was changed.
	ExitFailed
	// ExitUsage means that the command line is invalid.
	ExitUsage
	// ExitNotRun means that the node could not be reached or had no free capacity, and nothing was changed.
	ExitNotRun
	// ExitUnknown means that the command may or may not have taken effect.
	ExitUnknown
	// ExitCancelled means that the request was cancelled.
	ExitCancelled
)

// exitError is an error with the exit code of the command.
type exitError struct {
	code    ExitCode
	message string
}

func (e *exitError) Error() string {
	return e.message
}

func usageError(format string, arguments ...any) error {
	return &exitError{code: ExitUsage, message: fmt.Sprintf(format, arguments...)}
}

// refusalCodes are the codes with which a node refuses a call without having changed anything.
var refusalCodes = map[connect.Code]bool{
	connect.CodeInvalidArgument:    true,
	connect.CodeNotFound:           true,
	connect.CodeAlreadyExists:      true,
	connect.CodePermissionDenied:   true,
	connect.CodeUnauthenticated:    true,
	connect.CodeFailedPrecondition: true,
	connect.CodeOutOfRange:         true,
	connect.CodeUnimplemented:      true,
}

// changeError wraps the error of a call that changes state with its exit code, which is ExitUnknown unless it is certain
// that nothing was changed.
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
	case refusalCodes[code]:
		return ExitFailed
	case code == connect.CodeResourceExhausted:
		return ExitNotRun
	default:
		return ExitUnknown
	}
}

// readError wraps the error of a read-only call with its exit code.
func readError(err error) error {
	if err == nil {
		return nil
	}
	if neverConnected(err) {
		return &exitError{code: ExitNotRun, message: err.Error()}
	}
	return &exitError{code: ExitFailed, message: err.Error()}
}

// neverConnected reports whether the call failed because no connection to the node could be established.
func neverConnected(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
