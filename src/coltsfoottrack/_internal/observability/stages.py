"""Histograms of the time that calls spend in each stage of a node."""

from enum import StrEnum

from aioprometheus import Histogram

from coltsfoottrack._internal.observability.plain_histogram import PlainHistogram

# Resolution is highest up to 1.4 ms, the limit for the latency that a node may add.
STAGE_BUCKETS_SECONDS = (
    *(0.00005, 0.0001, 0.00015, 0.0002, 0.0003, 0.0005, 0.0007, 0.001, 0.0014),
    *(0.002, 0.003, 0.005, 0.01, 0.025, 0.1),
)


class Stage(StrEnum):
    """The stages of a call on its way through a node, in order."""

    # From the last bytes of the request until its connection's task starts to answer it.
    PARSE = "parse"
    # Reading the headers and the configuration in force.
    CONTEXT = "context"
    # Retry budget, registry or ledger, and admission, without the time in the queue.
    ADMISSION = "admission"
    QUEUE = "queue"
    # Encoding and sending the request, the backend server itself, and reading its response.
    BACKEND = "backend"
    # Recording metrics and events, and building the headers of the answer.
    ANSWER = "answer"
    WRITE = "write"


class StageTimes:
    """One histogram for each stage."""

    def __init__(self) -> None:
        self.histograms = {stage: PlainHistogram(STAGE_BUCKETS_SECONDS) for stage in Stage}

    def add(self, stage: Stage, seconds: float) -> None:
        """Records the time that one call spent in a stage."""
        self.histograms[stage].observe(seconds)

    def publish(self, collector: Histogram) -> None:
        """Copies all counts to the collector."""
        for stage, histogram in self.histograms.items():
            histogram.publish(collector, {"stage": stage.value})
