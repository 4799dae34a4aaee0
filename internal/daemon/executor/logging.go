package executor

import (
	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/decision/reducer"
)

func (x *Executor) logNote(e reducer.Noted) {
	line := x.Logger.Info()
	if e.Warning {
		line = x.Logger.Warn()
	}
	line.Str("Subject", e.Subject).Str("Detail", e.Detail).Msg(e.Message)
}

func (x *Executor) logOrder(e reducer.SendOrder, outcome orderer.Outcome) {
	x.Logger.Info().
		Str("Server", e.Server).
		Str("Kind", string(e.Order.Kind)).
		Str("OrderID", e.Order.OrderID).
		Str("Replica", e.Order.Replica).
		Int64("Fence", e.Order.Fence).
		Str("Outcome", outcome.String()).
		Msg("order sent")
}

func (x *Executor) logPlacement(e reducer.PlacementDecided) {
	x.Logger.Info().
		Str("Cell", e.Cell).
		Str("Action", e.Action).
		Str("Deployment", e.Deployment).
		Str("Replica", e.Replica).
		Str("Server", e.Server).
		Str("Reason", e.Reason).
		Float64("Score", e.Score).
		Str("Other", e.Other).
		Float64("OtherScore", e.OtherScore).
		Int("Waiting", e.Waiting).
		Msg("placement decided")
}
