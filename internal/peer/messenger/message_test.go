package messenger

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/decision/planner"
	"samphirewharf/internal/decision/regulator"
)

// drawDuration draws a duration, which may be negative.
func drawDuration(t *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(t, "duration")) }

// drawList draws nil or a non-empty list, as an empty list is decoded as nil.
func drawList[T any](t *rapid.T, draw func(*rapid.T) T) []T {
	return optionalList(rapid.SliceOfN(rapid.Custom(draw), 0, 3).Draw(t, "list"))
}

func optionalList[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

func drawOptional[T any](t *rapid.T, draw func(*rapid.T) T) *T {
	if !rapid.Bool().Draw(t, "present") {
		return nil
	}
	value := draw(t)
	return &value
}

func drawText(t *rapid.T) string    { return rapid.String().Draw(t, "text") }
func drawNumber(t *rapid.T) int64   { return rapid.Int64().Draw(t, "number") }
func drawHash(t *rapid.T) uint64    { return rapid.Uint64().Draw(t, "hash") }
func drawBool(t *rapid.T) bool      { return rapid.Bool().Draw(t, "bool") }
func drawCount(t *rapid.T) int      { return rapid.Int().Draw(t, "count") }
func drawTexts(t *rapid.T) []string { return drawList(t, drawText) }

func drawReplica(t *rapid.T) orderer.ReplicaReport {
	return orderer.ReplicaReport{
		Replica: drawText(t), Deployment: drawText(t), ModelVersion: drawText(t), Role: drawText(t),
		State: orderer.ReplicaState(drawText(t)), Bytes: drawNumber(t), Running: drawCount(t), Waiting: drawCount(t),
		Adapters: drawTexts(t),
	}
}

func drawCacheEvent(t *rapid.T) orderer.CacheEvent {
	return orderer.CacheEvent{Sequence: drawNumber(t), Replica: drawText(t), Prefix: drawHash(t), Stored: drawBool(t)}
}

func drawCheckpoints(t *rapid.T) orderer.Checkpoints {
	return orderer.Checkpoints{Memory: drawTexts(t), Disk: drawTexts(t)}
}

func drawReport(t *rapid.T) ServerReport {
	return ServerReport{
		Server: drawText(t), Age: drawDuration(t), Unreachable: drawBool(t), LoadOnly: drawBool(t),
		Report: orderer.Report{
			Instance: drawText(t), Sequence: drawNumber(t), Fence: drawNumber(t), MemoryBytes: drawNumber(t),
			UsedBytes: drawNumber(t), Replicas: drawList(t, drawReplica), CheckpointsVersion: drawNumber(t),
			Checkpoints: drawOptional(t, drawCheckpoints), CacheEvents: drawList(t, drawCacheEvent),
		},
	}
}

func drawNeed(t *rapid.T) planner.Need {
	return planner.Need{
		Deployment: drawText(t), Adapter: drawText(t), Urgent: drawCount(t), CanWait: drawCount(t),
		Slack: drawDuration(t), Used: drawBool(t), Running: drawCount(t),
	}
}

func drawHeartbeat(t *rapid.T) Heartbeat {
	h := Heartbeat{ConfigurationVersion: drawNumber(t), Leaving: drawBool(t), InFlight: drawCount(t)}
	if placements := rapid.MapOfN(rapid.String(), rapid.Int64(), 0, 3).Draw(t, "placements"); len(placements) > 0 {
		h.Placements = placements
	}
	return h
}

func drawForecast(t *rapid.T) Forecast {
	return Forecast{Deployment: drawText(t), ReadyIn: drawDuration(t), Impossible: drawBool(t)}
}

func drawNeeds(t *rapid.T) Needs {
	return Needs{
		Cell: drawText(t), Sequence: drawNumber(t), Waiting: drawList(t, drawNeed), Renounced: drawTexts(t),
	}
}

func drawPlacement(t *rapid.T) Placement {
	record := optionalList(rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "record"))
	return Placement{Cell: drawText(t), Revision: drawNumber(t), Record: record}
}

func drawVerdict(t *rapid.T) Verdict {
	return Verdict{
		Cell: drawText(t), Hashes: drawList(t, drawHash), Expires: drawDuration(t), Suspects: drawList(t, drawHash),
	}
}

func drawAmount(t *rapid.T) float64 { return rapid.Float64Range(0, 1e9).Draw(t, "amount") }

func drawQuotaAsk(t *rapid.T) QuotaAsk {
	return QuotaAsk{ReplyAddress: drawText(t), Forwarded: drawBool(t), Ask: regulator.Ask{
		Workspace: drawText(t), Spender: drawText(t), Sequence: drawHash(t), Sizes: drawList(t, drawAmount), Extra: drawAmount(t), Returned: drawAmount(t),
		Quota: regulator.Quota{PerSecond: drawAmount(t), Burst: drawAmount(t), Version: drawNumber(t)}, Fallback: drawBool(t),
	}}
}

func drawQuotaGrant(t *rapid.T) QuotaGrant {
	return QuotaGrant{Spender: drawText(t), Grant: regulator.Grant{
		Workspace: drawText(t), Sequence: drawHash(t), Delays: drawList(t, drawDuration), Extra: drawAmount(t), Fallback: drawBool(t),
	}}
}

func drawStanding(t *rapid.T) Standing {
	return Standing{Inquiry: drawHash(t), Answer: drawBool(t), Registered: drawBool(t), Revision: drawNumber(t)}
}

func drawMessage(t *rapid.T) Message {
	return Message{
		From: drawText(t), Instance: drawText(t), Address: drawText(t), Zone: drawText(t),
		Heartbeat: drawOptional(t, drawHeartbeat), Reports: drawList(t, drawReport), Needs: drawOptional(t, drawNeeds),
		Placement: drawOptional(t, drawPlacement), Verdict: drawOptional(t, drawVerdict),
		Region: drawText(t), Forecasts: drawList(t, drawForecast),
		QuotaAsk: drawOptional(t, drawQuotaAsk), QuotaGrant: drawOptional(t, drawQuotaGrant), Standing: drawOptional(t, drawStanding),
	}
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawMessage(t)
		bytes, err := proto.Marshal(want.Envelope())
		if err != nil {
			t.Fatal(err)
		}
		var envelope Envelope
		if err := proto.Unmarshal(bytes, &envelope); err != nil {
			t.Fatal(err)
		}
		if got := envelope.Message(); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}
