package messenger

// The plugins are tools of go.mod; put them on PATH by "go build -o DIR" with their import paths.
//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative messenger.proto
