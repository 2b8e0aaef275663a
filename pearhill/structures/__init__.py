"""Data structures that know nothing of requests, replicas or time."""
