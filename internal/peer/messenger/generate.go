package messenger

// The plugins are tools of go.mod; build them into a folder on the PATH first: see CONTRIBUTING.md.
//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative messenger.proto
