"""Ranks of requests by the priorities of their customer and their route.

The customer's priority goes first and the route's second. The first ranks are those of the most
important customer priority and equal the ranks of the routes, so a request without a customer has
the rank of its route. For each other customer priority follow the priorities of the routes that
need a key; a rank that hardly any request has would only delay the shedding of the next one.
"""

from bisect import bisect_left

from coltsfoottrack._internal.mesh.model import Customer, Route


class CustomerRanks:
    """The ranks of one configuration with customers."""

    def __init__(self, customers: tuple[Customer, ...], routes: tuple[Route, ...]) -> None:
        priorities = set()
        for customer in customers:
            if customer.keys and customer.priority is not None:
                priorities.add(customer.priority)
        # Customer priority -> position among those of all customers.
        self.positions = {priority: at for at, priority in enumerate(sorted(priorities))}
        all_ranks = {route.rank for route in routes}
        keyed_ranks = {route.rank for route in routes if not route.public}
        # Route ranks that exist for each customer priority but the first.
        self.keyed_ranks = sorted(keyed_ranks or all_ranks)
        self.first_ranks = max(all_ranks, default=0) + 1
        others = max(0, len(self.positions) - 1)
        # Number of ranks.
        self.count = self.first_ranks + others * len(self.keyed_ranks)

    def rank(self, route: Route, customer: Customer | None) -> int:
        """Returns the rank of a request; a customer without a priority counts as the first.

        A request with a key on a public route whose priority has no rank for its customer takes
        the next less important one.
        """
        position = 0
        if customer is not None and customer.priority is not None:
            position = self.positions.get(customer.priority, 0)
        if position == 0:
            return route.rank
        within = bisect_left(self.keyed_ranks, route.rank)
        within = min(within, len(self.keyed_ranks) - 1)
        return self.first_ranks + (position - 1) * len(self.keyed_ranks) + within
