"""The chat API: a front end with streamed events in OpenAI's format, before replicas that speak the same."""
