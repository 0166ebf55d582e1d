"""Reads the tenants of the operator's configuration.

No error names a key or contains a value, as either could end up in a log.
"""

from math import isfinite
from typing import Any

from coltsfoottrack._internal.mesh.model import Customer

FIRST_PRINTABLE = " "
DELETE = "\x7f"


def read_tenants(entries: dict[str, Any] | None) -> tuple[Customer, ...] | None:
    """Returns the customers of a configuration, None if it has no table of tenants.

    An empty table means that no key is valid. Raises ValueError.
    """
    if entries is None:
        return None
    if not isinstance(entries, dict):
        raise ValueError("the tenants are not a table")
    customers = []
    owners: dict[bytes, str] = {}
    for name, entry in entries.items():
        customer = _customer(name, entry)
        for key in customer.keys:
            if owners.setdefault(key, name) != name:
                raise ValueError(f"tenants {owners[key]!r} and {name!r} share a key")
        customers.append(customer)
    return tuple(customers)


def _customer(name: str, entry: Any) -> Customer:
    if not name.strip():
        raise ValueError("a tenant has no name")
    for character in name:
        if character < FIRST_PRINTABLE or character == DELETE:
            raise ValueError(f"the name of tenant {name!r} cannot be sent in a header")
    if not isinstance(entry, dict):
        raise ValueError(f"tenant {name!r} is not a table")
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
        raise ValueError(f"the keys of tenant {name!r} are not a list")
    keys = []
    for value in values:
        if not isinstance(value, str):
            raise ValueError(f"a key of tenant {name!r} is not a string")
        keys.append(value.encode("utf-8"))
    return tuple(keys)


def _priority(name: str, value: Any) -> int | None:
    if value is None:
        return None
    return int(_number(name, "priority", value))


def _quantity(name: str, field: str, value: Any) -> float:
    if value is None:
        return 0.0
    number = _number(name, field, value)
    if number < 0.0:
        raise ValueError(f"{field} of tenant {name!r} is negative")
    return number


def _number(name: str, field: str, value: Any) -> float:
    try:
        number = float(value)
    except (TypeError, ValueError):
        number = float("nan")
    if not isfinite(number):
        raise ValueError(f"{field} of tenant {name!r} is not a number") from None
    return number
