"""The operators' door: their calls and the figures."""
