"""Which dispatchers are there, and what work each has sent where, by gossip or by way of aggregators.

State machines free of I/O; clock and randomness are passed in. The platform's dispatchers must not gossip or report to
one another, and load none of this.
"""
