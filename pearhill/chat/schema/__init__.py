"""The wire's records: every request, answer and stream event of the API, typed.

Fields follow OpenAI's published API reference (chat completions, completions, responses, models). What is known is
checked for type and range; fields that are not known are left alone and go on to the servers as they came.
"""
