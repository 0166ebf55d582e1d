"""Time that calls spend in each stage of a node, in plain counts."""

from enum import StrEnum

from aioprometheus import Histogram

from coltsfoottrack._internal.observability.plain_histogram import PlainHistogram

# Finest around the 1.4 ms that the path through a node may add.
STAGE_BUCKETS_SECONDS = (
    *(0.00005, 0.0001, 0.00015, 0.0002, 0.0003, 0.0005, 0.0007, 0.001, 0.0014),
    *(0.002, 0.003, 0.005, 0.01, 0.025, 0.1),
)


class Stage(StrEnum):
    """The stages of a call on its way through a node, in order."""

    # From the last bytes of the request until its connection's task takes it up.
    PARSE = "parse"
    # Headers, configuration in force.
    CONTEXT = "context"
    # Budget, registry or ledger, admission; without the time in the queue.
    ADMISSION = "admission"
    QUEUE = "queue"
    # Encoding and sending, the backend server itself, and reading its answer.
    BACKEND = "backend"
    # Metrics, events and the headers of the answer.
    ANSWER = "answer"
    WRITE = "write"


class StageTimes:
    """A histogram for each stage."""

    def __init__(self) -> None:
        self.histograms = {stage: PlainHistogram(STAGE_BUCKETS_SECONDS) for stage in Stage}

    def add(self, stage: Stage, seconds: float) -> None:
        """Counts the time that one call spent in a stage."""
        self.histograms[stage].observe(seconds)

    def publish(self, collector: Histogram) -> None:
        """Copies all counts to the collector."""
        for stage, histogram in self.histograms.items():
            histogram.publish(collector, {"stage": stage.value})
