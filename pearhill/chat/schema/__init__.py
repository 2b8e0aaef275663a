"""Typed records of the API's JSON: every request, response and stream event.

The fields follow OpenAI's published API reference (chat completions, completions, responses, models). Known fields are
checked for type and range; unknown fields of a request are forwarded to the replicas unchanged.
"""
