"""Data structures made for the job. They know nothing of requests, servers or time."""
