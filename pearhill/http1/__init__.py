"""HTTP/1.1 and server-sent events as state machines that are fed bytes and perform no I/O."""
