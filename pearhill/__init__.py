"""Routing decisions for language-model servers that read prompts and write answers in two stages."""

from pearhill.routing.router import Router

__version__ = "0.3.0"
__all__ = ["Router", "__version__"]
