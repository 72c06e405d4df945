// Command cases runs the review's cases: cases NAME DIR. It must run in the root of the repository after the build
// of the deploy file. Roles are stand-ins that a case starts as processes of their own: cases role NAME ARGS.
package main

import (
	"fmt"
	"os"
)

var (
	cases = map[string]func(*lab){}
	roles = map[string]func(args []string){}
)

func main() {
	if len(os.Args) > 2 && os.Args[1] == "role" {
		roles[os.Args[2]](os.Args[3:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: cases NAME DIR")
		os.Exit(exitFailed)
	}
	l := newLab(os.Args[2])
	cases[os.Args[1]](l)
	l.fail("the case gave no verdict")
}
