"""Writes the files of a bill. Needs pyarrow and jinja2, which the extra `[lab]` installs."""

from __future__ import annotations

import pathlib

import jinja2
import msgspec
import pyarrow
import pyarrow.parquet

from pearhill.bill.statement import COLUMNS, Bill
from pearhill.budgets.charges import Charge

_COLUMN_TYPES = {int: pyarrow.int64(), str: pyarrow.string(), bool: pyarrow.bool_()}
SCHEMA = pyarrow.schema([(field.name, _COLUMN_TYPES[field.type]) for field in msgspec.structs.fields(Charge)])
HEADINGS = {
    "tenant": "Tenant",
    "requests": "Requests",
    "prompt": "Prompt tokens",
    "cached": "of them cached",
    "answer": "Answer tokens",
    "refused": "Refused",
    "failed": "Failed",
    "debt": "Tokens past reservations",
    "milli": "Charged tokens",
}


def table(bill: Bill) -> pyarrow.Table:
    """Returns all charges of a bill as a table with a column for each field of `Charge`."""
    columns = {name: [getattr(charge, name) for charge in bill.charges] for name in SCHEMA.names}
    return pyarrow.table(columns, schema=SCHEMA)


def html(bill: Bill) -> str:
    """Renders the statement as an HTML page with a row for each tenant and the total."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("pearhill.bill", "."),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    return environment.get_template("statement.html.j2").render(bill=bill, columns=COLUMNS, headings=HEADINGS)


def write(bill: Bill, folder: pathlib.Path) -> list[pathlib.Path]:
    """Write the Parquet, CSV and HTML files of a bill; returns their paths. The same bill produces the same files."""
    folder.mkdir(parents=True, exist_ok=True)
    base = folder / f"bill-{bill.period}"
    pyarrow.parquet.write_table(table(bill), f"{base}.parquet", compression="zstd")
    base.with_suffix(".csv").write_text(bill.csv(), encoding="utf-8")
    base.with_suffix(".html").write_text(html(bill), encoding="utf-8")
    return [base.with_suffix(suffix) for suffix in (".parquet", ".csv", ".html")]
