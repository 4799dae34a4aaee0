package responder

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/reducer"
)

// outcomeNames are the values of the label Outcome, indexed by reducer.AttemptOutcome.
var outcomeNames = [...]string{"Done", "NotSent", "NotRun", "Failed", "Refused", "Cancelled"}

func countAttempt(outcome reducer.AttemptOutcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`samphirewharf_attempts_total{Outcome=%q}`, outcomeNames[outcome])).Inc()
}

func countRefusal(code refuser.Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`samphirewharf_refusals_total{Code="%d"}`, code)).Inc()
}
