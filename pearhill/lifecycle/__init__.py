"""Operators' overrides, the drain, the stages of the shutdown, and the takeover. This package does no I/O."""
