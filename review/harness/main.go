// Command harness runs the cases of the review. Its stand-ins follow the users' pages and use the standard library only.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxCaseTime ends a case before the 120 seconds that it may take.
const maxCaseTime = 110 * time.Second

// cases run one case each. They report whether the rule held.
var cases = map[string]func(d *deployment, trouble bool) (held bool, err error){
	"crash-with-streams":    crashWithStreams,
	"draining-exit":         drainingExit,
	"crash-after-pause":     crashAfterPause,
	"crash-in-large-answer": crashInLargeAnswer,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		if err := runServer(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// runCase returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func runCase(name, record string, trouble bool) int {
	d, err := newDeployment(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	end := make(chan os.Signal, 1)
	signal.Notify(end, os.Interrupt, syscall.SIGTERM)
	defer time.AfterFunc(maxCaseTime, func() { end <- os.Interrupt }).Stop()
	go func() {
		<-end
		d.note("could not run: it was interrupted or took too long")
		d.close()
		os.Exit(2)
	}()
	held, err := cases[name](d, trouble)
	switch {
	case err != nil:
		d.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case !held:
		d.note("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	d.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
