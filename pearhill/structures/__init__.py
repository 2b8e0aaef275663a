"""Generic data structures, independent of requests, replicas and time."""
