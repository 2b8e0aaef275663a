"""What clients of the chat API see of budgets: rate-limit headers, the usage report, and rejections."""

from __future__ import annotations

from pearhill.budgets import AdmissionDecision
from pearhill.chat.errors import ApiError, ErrorType
from pearhill.chat.schema.answers import RequestsUsed, TokensUsed, UsageReport
from pearhill.http1.messages import Headers


def format_duration(micros: int) -> str:
    """Formats microseconds as in the rate-limit headers: `12ms`, `1.5s`, `6m0s`."""
    if micros < 1_000_000:
        return f"{-(-micros // 1000)}ms"
    minutes, rest = divmod(micros, 60_000_000)
    seconds = f"{rest / 1e6:.3f}".rstrip("0").rstrip(".")
    return f"{minutes}m{seconds}s" if minutes else f"{seconds}s"


def rate_limit_headers(balance: dict[str, int]) -> Headers:
    """Returns the `x-ratelimit-*` headers for a balance (`Budgets.balance`), without those that have no limit."""
    headers = []
    if balance["limit_requests"]:
        reset_us = 0 if balance["remaining_requests"] else 1_000_000
        headers += [
            ("x-ratelimit-limit-requests", str(balance["limit_requests"])),
            ("x-ratelimit-remaining-requests", str(balance["remaining_requests"])),
            ("x-ratelimit-reset-requests", format_duration(reset_us)),
        ]
    if balance["limit_tokens"]:
        headers += [
            ("x-ratelimit-limit-tokens", str(balance["limit_tokens"])),
            ("x-ratelimit-remaining-tokens", str(balance["remaining_tokens"])),
            ("x-ratelimit-reset-tokens", format_duration(balance["reset_us"])),
        ]
    return headers


def usage_report(tenant: str, balance: dict[str, int]) -> UsageReport:
    """Returns the answer to `GET /v1/usage`, from a tenant's balance (`Budgets.balance`)."""
    tokens = TokensUsed(
        balance["day_tokens"],
        balance["month_tokens"],
        balance["day_limit"] or None,
        balance["month_limit"] or None,
        balance["debt_tokens"],
        balance["remaining_tokens"] if balance["limit_tokens"] else None,
    )
    requests = RequestsUsed(balance["open_requests"], balance["limit_requests"] or None)
    return UsageReport(tenant, tokens, requests)


def rejection_error(decision: AdmissionDecision) -> ApiError:
    """Returns the error for a request that its budget rejects."""
    if decision.quota_exhausted:
        return ApiError(
            429,
            f"The quota is used up ({decision.reason}); nothing was done.",
            "insufficient_quota",
            type=ErrorType.INSUFFICIENT_QUOTA,
        )
    return ApiError(
        429,
        f"The rate limit is reached ({decision.reason}); nothing was done.",
        "rate_limit_exceeded",
        type=ErrorType.RATE_LIMIT,
    )
