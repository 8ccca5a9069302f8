// Command marjoramtiller-entry runs the entry daemon.
package main

import (
	"os"

	"marjoramtiller.example/marjoramtiller/process/daemon"
	"marjoramtiller.example/marjoramtiller/process/service"
)

func main() {
	os.Exit(daemon.Entry(service.RunEntry).Main(os.Args[1:], os.Stdout, os.Stderr))
}
