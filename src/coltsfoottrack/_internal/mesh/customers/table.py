"""Finds the customer of a request by its key."""

from coltsfoottrack._internal.mesh.customers.credentials import read_key
from coltsfoottrack._internal.mesh.customers.ranks import CustomerRanks
from coltsfoottrack._internal.mesh.model import Customer, Route


class CustomerTable:
    """The customers of one configuration by key and by name."""

    def __init__(self, customers: tuple[Customer, ...], routes: tuple[Route, ...]) -> None:
        self.by_key: dict[bytes, Customer] = {}
        self.by_name: dict[str, Customer] = {}
        for customer in customers:
            self.by_name[customer.name] = customer
            for key in customer.keys:
                self.by_key[key] = customer
        self.ranks = CustomerRanks(customers, routes)

    def find(self, authorization: bytes | None) -> Customer | None:
        """Returns the customer of a header value, None if its key is unknown or missing."""
        key = read_key(authorization)
        return self.by_key.get(key) if key else None
