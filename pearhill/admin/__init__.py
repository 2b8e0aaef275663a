"""The operators' calls and the figures, over HTTP."""
