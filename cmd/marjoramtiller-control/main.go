// Command marjoramtiller-control runs the control daemon.
package main

import (
	"os"

	"marjoramtiller.example/marjoramtiller/process/daemon"
	"marjoramtiller.example/marjoramtiller/process/service"
)

func main() {
	os.Exit(daemon.Control(service.RunControl).Main(os.Args[1:], os.Stdout, os.Stderr))
}
