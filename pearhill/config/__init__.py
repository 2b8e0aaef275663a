"""Configuration: the platform's (`platform`, which needs only the standard library) and operators' files (`typed`)."""

from pearhill.config.platform import Config, ConfigError, for_next_start, load

__all__ = ["Config", "ConfigError", "for_next_start", "load"]
