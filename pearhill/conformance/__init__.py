"""The conformance suite of the chat API: cases as data, a scripted replica, and a runner that tests any front end.

The front end under test must have the scripted replica as its only replica, and two models: `conform-safe`, whose
requests are idempotent, and `conform-once`, whose requests must never run twice. `front.toml` is a configuration file
that meets these conditions.
"""
