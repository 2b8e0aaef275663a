"""The days and months of quotas, in UTC."""

from __future__ import annotations

DAY_S = 86_400
MONTHS_A_YEAR = 12
EPOCH_YEAR = 1970


def periods(wall_s: int) -> tuple[int, int]:
    """Returns the day and the month of a time in seconds, both counted since 1970 in UTC.

    Source: H. Hinnant, "chrono-compatible low-level date algorithms", civil_from_days. The local variables have the
    names of that article.
    """
    day = wall_s // DAY_S
    z = day + 719_468
    era = z // 146_097
    doe = z - era * 146_097
    yoe = (doe - doe // 1_460 + doe // 36_524 - doe // 146_096) // 365
    doy = doe - (365 * yoe + yoe // 4 - yoe // 100)
    mp = (5 * doy + 2) // 153
    month = mp + 3 if mp < 10 else mp - 9
    year = yoe + era * 400 + (month <= 2)
    return day, (year - EPOCH_YEAR) * MONTHS_A_YEAR + month - 1


def month_name(month: int) -> str:
    """Formats a month, counted since 1970, as YYYY-MM."""
    return f"{EPOCH_YEAR + month // MONTHS_A_YEAR}-{month % MONTHS_A_YEAR + 1:02}"


def month_of(name: str) -> int:
    """Parses a month YYYY-MM to its number since 1970. Raises ValueError if the text is not such a month."""
    year, dash, month = name.partition("-")
    if not (
        dash
        and len(year) == 4
        and len(month) == 2
        and year.isdecimal()
        and month.isdecimal()
        and 1 <= int(month) <= MONTHS_A_YEAR
        and int(year) >= EPOCH_YEAR
    ):
        raise ValueError(f"{name!r} is no month as in 2026-12")
    return (int(year) - EPOCH_YEAR) * MONTHS_A_YEAR + int(month) - 1
