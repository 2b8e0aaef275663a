"""The second front: an OpenAI-style chat API with streamed events, and servers that speak the same."""
