"""Requests, attempts and outcomes round one Router. Nothing here knows HTTP, sockets or JSON."""
