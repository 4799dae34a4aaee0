package runner

import (
	"errors"
	"fmt"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/config/questioner"
	"samphirewharf/internal/config/versioner"
	"samphirewharf/internal/load/generator"
)

// Exit codes of the command line. They are stable.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command failed for a reason that has no exit code of its own.
	ExitFailure = 1
	// ExitUsage means that the command line or a setting is invalid.
	ExitUsage = 2
	// ExitMistakes means that the questionnaire has mistakes.
	ExitMistakes = 3
	// ExitConflict means that another operator's change was applied first; nothing was changed.
	ExitConflict = 4
	// ExitUnavailable means that the key-value service did not answer; nothing was changed.
	ExitUnavailable = 5
	// ExitUnknown means that a change may or may not take effect; repeat it with the same change ID.
	ExitUnknown = 6
	// ExitNotFound means that the version, deployment or file does not exist.
	ExitNotFound = 7
)

var errNotFound = errors.New("not found")

// A SettingError reports a setting that has an invalid value.
type SettingError struct {
	// Name is the flag, such as "--store-address".
	Name     string
	Value    string
	Accepted string
}

// Error returns the setting, its value and the accepted values.
func (e *SettingError) Error() string {
	return fmt.Sprintf("%s is %q; accepted: %s", e.Name, e.Value, e.Accepted)
}

// A failure describes a failed command. It is also the format of --output json.
type failure struct {
	Error    string
	ExitCode int
	// Code is the result code, 0 if there is none. See docs/RESULT-CODES.md.
	Code     refuser.Code         `json:",omitempty"`
	Mistakes []questioner.Mistake `json:",omitempty"`
}

// newFailure maps an error to its exit code and result code.
func newFailure(err error) failure {
	f := failure{Error: err.Error(), ExitCode: ExitFailure}
	var setting *SettingError
	var check *questioner.CheckError
	var conflict *versioner.ConflictError
	var unknown *versioner.OutcomeUnknownError
	switch {
	case errors.As(err, &setting):
		f.ExitCode, f.Code = ExitUsage, refuser.CodeInvalidSettings
	case errors.Is(err, generator.ErrInvalidSettings):
		f.ExitCode, f.Code = ExitUsage, refuser.CodeInvalidSettings
	case errors.As(err, &check):
		f.ExitCode, f.Mistakes = ExitMistakes, check.Mistakes
	case errors.As(err, &conflict):
		f.ExitCode, f.Code = ExitConflict, refuser.CodeVersionConflict
	case errors.As(err, &unknown):
		f.ExitCode, f.Code = ExitUnknown, refuser.CodeStoreUnavailable
	case errors.Is(err, versioner.ErrStoreUnavailable):
		f.ExitCode, f.Code = ExitUnavailable, refuser.CodeStoreUnavailable
	case errors.Is(err, versioner.ErrNoConfiguration):
		f.ExitCode, f.Code = ExitNotFound, refuser.CodeNoConfiguration
	case errors.Is(err, errNotFound), errors.Is(err, versioner.ErrUnknownVersion):
		f.ExitCode = ExitNotFound
	}
	return f
}

// String returns the failure as text.
func (f failure) String() string {
	if f.Code == 0 {
		return "error: " + f.Error
	}
	return fmt.Sprintf("error %d (%s): %s", int(f.Code), f.Code, f.Error)
}
