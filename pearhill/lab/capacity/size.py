"""The fleet size that the operators plan for, with the figures that they gave."""

from __future__ import annotations

from dataclasses import dataclass

from pearhill.lab.capacity.units import MEGABYTE


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The operators' figures, in the order in which they gave them.

    `requests_s`, `tokens_s` (generated tokens) and `transferred_gb_s` (from prefill to decode) are peak rates.
    `first_token_s` and `between_tokens_s` are latency limits for 95 in 100 requests. `control_*` limit the resources
    that the control plane may use in one dispatcher, `aggregator_*` those of one aggregator. `propagation_limit_s` is
    the time within which a change of settings must be in force at all dispatchers.
    """

    dispatchers: int = 330
    replicas: int = 940
    accelerators: int = 7_500
    requests_s: float = 15_000
    tokens_s: float = 3.4e6
    first_token_s: float = 1.6
    between_tokens_s: float = 0.025
    prefill_share: float = 0.29
    transferred_gb_s: float = 7_500
    tenants: int = 760
    models: int = 4
    regions: int = 3
    zones: int = 6
    changes_per_day: float = 650
    propagation_limit_s: float = 9
    control_cores: float = 0.011
    control_bytes: float = 32 * MEGABYTE
    control_bytes_s: float = 7_000
    aggregators: int = 3
    aggregator_cores: float = 1
    aggregator_bytes: float = 1_000 * MEGABYTE
    replaced_per_day: float = 470
    failed_per_day: float = 12
    busiest_over_mean: float = 10  # the busiest dispatcher's requests over the mean's
