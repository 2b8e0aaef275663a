"""The control machine's program: one aggregator of a fleet of dispatchers, from its configuration to its shutdown."""
