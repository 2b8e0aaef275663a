"""Requests, attempts, outcomes and their one final answer, around one router.

Nothing here knows HTTP, sockets, JSON or disk.
"""
