"""Reads the tenants of the operator's configuration.

No error names a key or contains a value, as either could end up in a log.
"""

from math import isfinite
from typing import Any

from coltsfoottrack._internal.mesh.customers.validation import (
    InvalidCustomersError,
    check_customers,
)
from coltsfoottrack._internal.mesh.model import Customer


def read_tenants(entries: dict[str, Any] | None) -> tuple[Customer, ...] | None:
    """Returns the customers of a configuration, None if it has no table of tenants.

    An empty table means that no key is valid. Raises InvalidCustomersError.
    """
    if entries is None:
        return None
    if not isinstance(entries, dict):
        raise InvalidCustomersError("the tenants are not a table")
    customers = tuple(_customer(name, entry) for name, entry in entries.items())
    check_customers(customers)
    return customers


def _customer(name: str, entry: Any) -> Customer:
    if not isinstance(entry, dict):
        raise InvalidCustomersError(f"tenant {name!r} is not a table")
    return Customer(
        name=name,
        keys=_keys(name, entry.get("apiKeys")),
        priority=_priority(name, entry.get("priority")),
        rate_per_second=_quantity(name, "ratePerS", entry.get("ratePerS")),
        burst=_quantity(name, "burst", entry.get("burst")),
    )


def _keys(name: str, values: Any) -> tuple[bytes, ...]:
    if values is None:
        return ()
    if not isinstance(values, list):
        raise InvalidCustomersError(f"the keys of tenant {name!r} are not a list")
    keys = []
    for value in values:
        if not isinstance(value, str):
            raise InvalidCustomersError(f"a key of tenant {name!r} is not a string")
        keys.append(value.encode("utf-8"))
    return tuple(keys)


def _priority(name: str, value: Any) -> int | None:
    if value is None:
        return None
    return int(_number(name, "priority", value))


def _quantity(name: str, field: str, value: Any) -> float:
    if value is None:
        return 0.0
    return _number(name, field, value)


def _number(name: str, field: str, value: Any) -> float:
    try:
        number = float(value)
    except (TypeError, ValueError):
        number = float("nan")
    if not isfinite(number):
        raise InvalidCustomersError(f"{field} of tenant {name!r} is not a number") from None
    return number
