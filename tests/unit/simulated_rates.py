"""Nodes that share rates, in virtual time and without a network.

Each node ticks every 50 ms in a phase of its own; a message takes one step.
"""

from collections import Counter
from random import Random
from random import seed as seed_random

from coltsfoottrack._internal.mesh.model import Member, QuotaBounds
from coltsfoottrack._internal.mesh.shared_rate.shared_rates import SharedRates
from coltsfoottrack._internal.mesh.shared_rate.terms import RateTerms

STEP_SECONDS = 0.01
TICK_STEPS = 5
BOUNDS = QuotaBounds()
NAME = "customer"


class QuietLog:
    """Counts decisions."""

    def __init__(self):
        self.counts = Counter()

    def decision(self, event, **fields):
        self.counts[event] += 1

    def count(self, event):
        self.counts[event] += 1


class SimulatedNode:
    """A node and what it knows of the others."""

    def __init__(self, mesh, member):
        self.mesh = mesh
        self.member = member
        self.known = mesh.members
        self.changes = 0
        self.rates = SharedRates(self, BOUNDS, QuietLog())

    def own(self):
        return self.member

    def members(self):
        return list(self.known.values())

    def generation(self):
        return self.changes

    def send(self, member, frame):
        self.mesh.post(self.member.node, member.node, frame.rate_usage, False)


class SimulatedRates:
    """All nodes, the messages between them and the admitted requests."""

    def __init__(self, count, rate, burst, seed=1):
        self.random = Random(seed)
        # Lenders round shares at random.
        seed_random(seed)
        self.now = 1000.0
        self.steps = 0
        self.limits = {NAME: RateTerms(rate, burst)}
        self.members = {}
        self.nodes = {}
        self.down = set()
        self.side = {}
        self.messages = []
        self.sent = 0
        # Requests that are due, as a fraction.
        self.due = 0.0
        # Admitted and refused requests by step.
        self.admitted = []
        self.refused = []
        for number in range(count):
            name = f"n{number}"
            self.members[name] = Member(name, f"{name}:1", f"z{number % 3}", "s", epoch=1)
        for name in self.members:
            self.start(name)

    def start(self, name):
        """Starts a node, or a new process of it."""
        member = self.members[name]
        self.members[name] = member._replace(epoch=member.epoch + 1)
        self.nodes[name] = SimulatedNode(self, self.members[name])
        self.nodes[name].rates.set_limits(self.limits, self.now)
        self.down.discard(name)

    def leave(self, name):
        """Removes a node from the members that all know."""
        del self.members[name]
        self.down.add(name)
        for node in self.nodes.values():
            node.changes += 1

    def set_limit(self, rate, burst):
        self.limits = {NAME: RateTerms(rate, burst)}
        for node in self.nodes.values():
            node.rates.set_limits(self.limits, self.now)

    def lender(self):
        """Returns the name of the lender that the last node uses."""
        return next(iter(self.nodes[list(self.nodes)[-1]].rates.loans))

    def post(self, sender, receiver, message, is_grant):
        self.sent += 1
        if self.side.get(sender) == self.side.get(receiver):
            self.messages.append((sender, receiver, message, is_grant))

    def _deliver(self):
        messages = self.messages
        self.messages = []
        for entry in messages:
            sender, receiver, message, is_grant = entry
            if receiver in self.down:
                continue
            rates = self.nodes[receiver].rates
            if is_grant:
                rates.handle_grant(sender, message, self.now)
                continue

            def answer(grant, sender=sender, receiver=receiver):
                self.post(receiver, sender, grant, True)

            rates.handle_usage(sender, message, self.now, answer)

    def run(self, seconds, demand):
        """Runs with a demand of requests per second by node, evenly spaced over all nodes."""
        names = list(demand)
        weights = list(demand.values())
        total = sum(weights)
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            self.steps += 1
            self._deliver()
            admitted = refused = 0
            self.due += total * STEP_SECONDS
            arrivals = self.random.choices(names, weights, k=int(self.due)) if names else ()
            self.due %= 1.0
            for name in arrivals:
                if name in self.down:
                    continue
                if self.nodes[name].rates.try_take(NAME, self.now) is None:
                    admitted += 1
                else:
                    refused += 1
            self.admitted.append(admitted)
            self.refused.append(refused)
            for number, (name, node) in enumerate(self.nodes.items()):
                if (self.steps + number) % TICK_STEPS == 0 and name not in self.down:
                    node.rates.tick(self.now)

    def most_in_window(self, first_step=0):
        """Returns the most requests admitted within any window of the bound."""
        window = round(BOUNDS.window_seconds / STEP_SECONDS)
        counts = self.admitted[first_step:]
        total = most = 0
        for index, count in enumerate(counts):
            total += count - (counts[index - window] if index >= window else 0)
            most = max(most, total)
        return most

    def allowed(self):
        """Returns how many requests any window may have by the limit in force."""
        terms = self.limits[NAME]
        total = terms.rate_per_second * BOUNDS.window_seconds + terms.burst
        return total * (1.0 + BOUNDS.over) + BOUNDS.slack

    def spread(self, total, skew=0.0):
        """Returns a total demand by node; with skew, the first nodes have most of it."""
        weights = [1.0 / (number + 1) ** skew for number in range(len(self.nodes))]
        return {
            name: total * weight / sum(weights)
            for name, weight in zip(self.nodes, weights, strict=True)
        }
