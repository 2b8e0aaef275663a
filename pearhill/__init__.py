"""Routing decisions for language-model replicas that answer in two stages, prefill and decode."""

from pearhill.routing.router import Router

__version__ = "0.4.6"
__all__ = ["Router", "__version__"]
