"""Records of the API's JSON: every request, response and stream event, typed.

Fields follow OpenAI's published API reference (chat completions, completions, responses, models). Known fields are
checked for type and range; unknown ones go on to the replicas as they came.
"""
