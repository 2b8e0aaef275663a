"""The router and the modules that make its decisions. The package does no I/O; times are passed in."""
