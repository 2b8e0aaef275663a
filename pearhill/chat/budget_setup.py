"""Converts the budgets of the operator's file into the plan of one instance."""

from __future__ import annotations

import pathlib

from pearhill.budgets import Limit, Plan, Prices, TenantPlan
from pearhill.chat import file as tables
from pearhill.chat.budget_accounting import AccountingSettings
from pearhill.chat.setup_names import index_of
from pearhill.config import typed
from pearhill.settings import Deployment

MILLI_PER_TOKEN = 1000


def accounting_settings(table: tables.BudgetsTable, deployment: Deployment) -> AccountingSettings:
    """Returns the settings of budget accounting.

    Raises ConfigError if a name is duplicated or not declared, or if a burst is missing.
    """
    if table.capacity_tokens_per_min and not table.capacity_burst_tokens:
        raise typed.invalid_value(
            "budgets.capacity_burst_tokens", 0, "a whole number above 0, as capacity_tokens_per_min is set"
        )
    instances = table.instances
    accounts = _accounts(table)
    tenants = _tenants(table, accounts)
    default = _tenant_plan("budgets.default", table.default, instances, "", table.default.weight)
    for name, quota in zip(deployment.tenant_names, deployment.router.quotas, strict=True):
        # A tenant of the settings that has no budget in this table gets the default one, weighted by its quota.
        tenants.setdefault(name, TenantPlan(default.limit, "", quota, default.key_limit))
    prices = Prices(round(table.cached_price * MILLI_PER_TOKEN), round(table.answer_price * MILLI_PER_TOKEN))
    rate = table.capacity_tokens_per_min // instances
    burst = table.capacity_burst_tokens // instances
    plan = Plan(tenants, accounts, default, prices, rate, burst)
    return AccountingSettings(plan, pathlib.Path(table.folder) if table.folder else None, table.uncounted_tokens)


def _accounts(table: tables.BudgetsTable) -> dict[str, Limit]:
    accounts: dict[str, Limit] = {}
    for k, account in enumerate(table.account):
        path = f"budgets.account[{k}]"
        if account.name in accounts:
            raise typed.invalid_value(f"{path}.name", account.name, "a name that no other account has")
        accounts[account.name] = _limit(path, account, table.instances)
    return accounts


def _tenants(table: tables.BudgetsTable, accounts: dict[str, Limit]) -> dict[str, TenantPlan]:
    tenants: dict[str, TenantPlan] = {}
    for k, tenant in enumerate(table.tenant):
        path = f"budgets.tenant[{k}]"
        if tenant.name in tenants:
            raise typed.invalid_value(f"{path}.name", tenant.name, "a name that no other tenant has")
        if tenant.account:
            index_of(f"{path}.account", tenant.account, list(accounts))
        tenants[tenant.name] = _tenant_plan(path, tenant, table.instances, tenant.account, tenant.weight)
    return tenants


def _tenant_plan(path: str, limits: tables.LimitsTable, instances: int, account: str, weight: float) -> TenantPlan:
    limit = _limit(path, limits, instances)
    key_limit = _limit(path, limits, instances, "key_")
    return TenantPlan(limit, account, weight, key_limit)


def _limit(path: str, limits: tables.LimitsTable, instances: int, prefix: str = "") -> Limit:
    """Returns one instance's part of each limit, rounded up. With `prefix` `key_`, these are the limits of each key."""
    totals = {name: getattr(limits, f"{prefix}{name}") for name in tables.LimitsTable.__struct_fields__}
    if totals["tokens_per_min"] and not totals["burst_tokens"]:
        raise typed.invalid_value(
            f"{path}.{prefix}burst_tokens", 0, f"a whole number above 0, as {prefix}tokens_per_min is set"
        )
    parts = {name: -(-total // instances) for name, total in totals.items()}
    return Limit(
        parts["tokens_per_min"],
        parts["burst_tokens"],
        parts["day_tokens"],
        parts["month_tokens"],
        parts["open_requests"],
        parts["debt_tokens"],
    )
