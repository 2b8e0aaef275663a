"""Units for the conversion of the capacity page's figures."""

MICROSECONDS_PER_S = 1_000_000
SECONDS_PER_DAY = 86_400
MEGABYTE = 1e6  # bytes


def in_seconds(microseconds: int) -> float:
    """Returns a time in microseconds as seconds."""
    return microseconds / MICROSECONDS_PER_S
