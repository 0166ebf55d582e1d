"""Counters and histograms of the mesh; plain numbers, converted to metrics at a scrape."""

from collections import defaultdict

from coltsfoottrack._internal.observability.plain_histogram import PlainHistogram

LATENCY_BUCKETS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class MeshStatistics:
    """Counters and histograms of one node."""

    def __init__(self) -> None:
        self.requests = 0
        self.retries = 0
        # Requests that a member without a free slot returned.
        self.declined = 0
        # Answers by route and reason; the reason of a backend server's answer is "answered".
        self.answers: dict[tuple[str, str], int] = defaultdict(int)
        # Answers to requests of customers, without calls, by customer and reason.
        self.customer_answers: dict[str, dict[str, int]] = {}
        self.latency = PlainHistogram(LATENCY_BUCKETS_SECONDS)
        self.run_time = PlainHistogram(LATENCY_BUCKETS_SECONDS)

    def count_answer(self, route: str, reason: str) -> None:
        """Counts an answer to a caller."""
        self.answers[(route, reason)] += 1

    def count_customer_answer(self, customer: str, reason: str) -> None:
        """Counts an answer to a request of a customer."""
        answers = self.customer_answers.get(customer)
        if answers is None:
            answers = self.customer_answers[customer] = defaultdict(int)
        answers[reason] += 1
