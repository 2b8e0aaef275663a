"""The chat API: a front end with streamed events in OpenAI's format, for replicas that serve the same API."""
