package responder

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/phuslu/log"
)

// MaxBodyBytes is the largest request body that the stand-ins read.
const MaxBodyBytes = 16 << 20

// Drop closes the connection of a request, before or during the answer.
func Drop(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		log.Error().Err(err).Msg("stand-in could not close a connection")
		return
	}
	_ = conn.Close()
}

// ReadJSON decodes the request's body into value. If that fails, it answers with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	// The whole body is read because the server detects a closed connection only after the end of the body.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, value)
	}
	if err != nil {
		http.Error(w, "malformed body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Sleep waits for the duration. It returns false if stop is closed first.
func Sleep(d time.Duration, stop <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}

// WriteJSON answers with the status and the value.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		log.Debug().Err(err).Msg("stand-in could not write its answer")
	}
}

// GetHandler returns a handler that answers with the value that get returns.
func GetHandler[T any](get func() T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, get()) }
}

// SetHandler returns a handler that passes the value in the request's body to set and answers with it.
func SetHandler[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if !ReadJSON(w, r, &value) {
			return
		}
		set(value)
		WriteJSON(w, http.StatusOK, value)
	}
}
