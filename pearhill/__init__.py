"""Routing decisions for language-model servers that read prompts and write answers in two stages."""

from pearhill.rules import Router

__all__ = ["Router"]
