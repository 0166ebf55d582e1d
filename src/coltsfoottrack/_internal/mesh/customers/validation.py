"""Checks the customers of a configuration as a whole.

No error names a key, as it would end up in a log.
"""

from collections.abc import Iterable

from coltsfoottrack._internal.mesh.exceptions import MeshError
from coltsfoottrack._internal.mesh.model import Customer

FIRST_PRINTABLE = " "
DELETE = "\x7f"


class InvalidCustomersError(MeshError):
    """The customers of a configuration have errors or contradict each other."""


def check_customers(customers: Iterable[Customer]) -> None:
    """Raises InvalidCustomersError if a name, key, rate or burst is invalid."""
    owners: dict[bytes, str] = {}
    names = set()
    for customer in customers:
        name = customer.name
        _check_name(name)
        if name in names:
            raise InvalidCustomersError(f"customer {name!r} is given twice")
        names.add(name)
        if customer.rate_per_second < 0.0 or customer.burst < 0.0:
            raise InvalidCustomersError(f"rate or burst of customer {name!r} is negative")
        for key in customer.keys:
            if owners.setdefault(key, name) != name:
                raise InvalidCustomersError(f"customers {owners[key]!r} and {name!r} share a key")


def _check_name(name: str) -> None:
    if not name.strip():
        raise InvalidCustomersError("a customer has no name")
    for character in name:
        if character < FIRST_PRINTABLE or character == DELETE:
            raise InvalidCustomersError(f"the name {name!r} cannot be sent in a header")
