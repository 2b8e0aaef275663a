"""The conformance suite of the chat API: cases as data, a scripted server, and a runner for any front.

A front under test must have the scripted server as its only server, and two models: `conform-safe`, whose requests may
be repeated, and `conform-once`, whose requests must never run twice. `deploy/conform.toml` is such a file for pearhill.
"""
