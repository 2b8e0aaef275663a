"""Parts of the routing decision that stand by themselves, free of I/O: times are passed in."""
