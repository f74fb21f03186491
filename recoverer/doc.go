// Package recoverer keeps an unexpected error in one piece of work from ending the process.
//
// A panic in a goroutine ends the whole process, with every request that it
// serves. The parts of the daemon that handle one request, one message or one
// turn of a loop therefore run under Run, which ends that piece of work alone
// and logs where the panic occurred.
package recoverer
