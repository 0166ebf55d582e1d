"""Metrics of a node; label values come from small fixed sets."""

from aioprometheus import Counter, Gauge, Histogram, Registry

LATENCY_BUCKETS_SECONDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class NodeMetrics:
    """The metrics that one node exports."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.calls = Counter(
            "coltsfoottrack_calls_total",
            "Answered calls by priority, outcome and reason.",
            registry=self.registry,
        )
        self.good_calls = Counter(
            "coltsfoottrack_good_calls_total",
            "Calls done in time for a caller that was still connected, by priority and entry.",
            registry=self.registry,
        )
        self.refusals = Counter(
            "coltsfoottrack_refusals_total",
            "Refused calls by priority and reason.",
            registry=self.registry,
        )
        self.queue_delay = Histogram(
            "coltsfoottrack_queue_delay_seconds",
            "Time that a call waited for a slot.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.service_time = Histogram(
            "coltsfoottrack_service_time_seconds",
            "Time that the backend server took for a call.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.bad_requests = Counter(
            "coltsfoottrack_bad_requests_total",
            "Requests refused for their form, by HTTP status.",
            registry=self.registry,
        )
        self.connections_refused = Counter(
            "coltsfoottrack_connections_refused_total",
            "Connections closed by a bound, by the bound.",
            registry=self.registry,
        )
        self.retries = Counter(
            "coltsfoottrack_retries_total",
            "Retries sent, and retries that a bound forbade, by result.",
            registry=self.registry,
        )
        self.violations = Gauge(
            "coltsfoottrack_violations",
            "Violations since the start, by invariant.",
            registry=self.registry,
        )
        self.members = Gauge(
            "coltsfoottrack_members",
            "Known members by status.",
            registry=self.registry,
        )
        self.gauges: dict[str, Gauge] = {}
        self.good_total = 0

    def set_gauge(self, name: str, text: str, value: float) -> None:
        """Sets a gauge without labels, creating it at first use."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = Gauge(f"coltsfoottrack_{name}", text, registry=self.registry)
            self.gauges[name] = gauge
        gauge.set({}, value)

    def count_call(self, priority: str, outcome: str, reason: str) -> None:
        """Counts an answered call."""
        self.calls.inc({"priority": priority, "outcome": outcome, "reason": reason})

    def count_good(self, priority: str, is_entry: bool) -> None:
        """Counts a call that was done in time; ``is_entry`` if no other service called it."""
        self.good_total += 1
        self.good_calls.inc({"priority": priority, "entry": "yes" if is_entry else "no"})
