"""Units in which the capacity page's figures are converted."""

MICROSECONDS_PER_S = 1_000_000
SECONDS_PER_DAY = 86_400
MEGABYTE = 1e6  # bytes


def in_seconds(microseconds: int) -> float:
    """The same time in seconds."""
    return microseconds / MICROSECONDS_PER_S
