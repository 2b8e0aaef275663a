"""Units in which the capacity page's figures are converted."""

from __future__ import annotations

S = 1_000_000  # microseconds
MEGABYTE = 1e6
