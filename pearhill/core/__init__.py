"""The request core: the lifecycles of requests and attempts around one router, with one final answer per request.

The package does not depend on HTTP, sockets, JSON or disk.
"""
