"""The conformance suite of the chat API: cases as data, a scripted replica, and a runner for any front.

A front under test must have the scripted replica as its only replica, and two models: `conform-safe`, whose requests
are idempotent, and `conform-once`, whose requests must never run twice. `front.toml` is such an operator's file.
"""
