package ignorer

// The runtime keeps SIGHUP ignored if it finds it so.

// #include <signal.h>
//
// __attribute__((constructor)) static void ignore_sighup(void) {
//	signal(SIGHUP, SIG_IGN);
// }
import "C"
