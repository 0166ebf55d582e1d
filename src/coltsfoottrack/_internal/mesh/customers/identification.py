"""Decides to which customer a request is attributed, and whether it may run."""

from coltsfoottrack._internal.mesh.entry_call import EntryCall
from coltsfoottrack._internal.mesh.model import Customer
from coltsfoottrack._internal.mesh.routes import RouteTable

MISSING_KEY = "missing_key"
UNKNOWN_KEY = "unknown_key"


def identify(call: EntryCall, table: RouteTable, customer_header: bytes) -> str:
    """Sets customer, rank and customer header of a request, whose parent must have been set.

    Returns why the request must not run, or an empty string. A call of a running request needs
    no key and keeps the customer of its parent even if the configuration no longer has it; its
    backend server is told the customer of the call's own key only.
    """
    customers = table.customers
    found = None
    if customers is not None:
        found = customers.find(call.request.authorization)
        if found is not None:
            name = found.name.encode("utf-8")
            call.request.head += customer_header + b": " + name + b"\r\n"
    parent = call.parent
    if parent is not None:
        if parent.customer:
            known = customers.by_name.get(parent.customer) if customers is not None else None
            call.customer = known or Customer(parent.customer)
        return ""
    if customers is None:
        return ""
    if found is None:
        if call.route.public:
            return ""
        return MISSING_KEY if call.request.authorization is None else UNKNOWN_KEY
    call.customer = found
    call.rank = customers.ranks.rank(call.route, found)
    return ""
