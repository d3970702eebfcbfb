package main

// The platform's names, as its pages spell them.
const (
	prefix           = "Snipedyke-"
	fieldAttempt     = prefix + "Attempt-Id"
	fieldSeal        = prefix + "Server-Seal"
	fieldExpected    = prefix + "Expect-Instance"
	fieldNotExecuted = prefix + "Not-Executed"
	manifestKey      = "op/" + "config"
	rangePath        = "/kv-" + "range"
	watchPath        = "/kv-" + "watch"
)
