"""Reads the time of calls in each stage of a node from its admin port."""

from collections import defaultdict
from re import compile as compile_pattern
from typing import NamedTuple

from coltsfoottrack._internal.experiment.fleet import LOOPBACK, Fleet, NodePair
from coltsfoottrack._internal.observability.stages import Stage

STAGE_SECONDS = "coltsfoottrack_stage_seconds"
SAMPLE_PATTERN = compile_pattern(STAGE_SECONDS + r"(_bucket|_sum|_count)?\{(.*)\} (\S+)")
LABEL_PATTERN = compile_pattern(r'(\w+)="([^"]*)"')


class StageCounts(NamedTuple):
    """Histogram of one stage; the buckets are cumulative, by upper bound."""

    buckets: dict[float, float]
    sum_seconds: float

    def since(self, before: "StageCounts") -> "StageCounts":
        """Returns the difference from an earlier reading."""
        buckets = {}
        for bound, count in self.buckets.items():
            buckets[bound] = count - before.buckets.get(bound, 0.0)
        return StageCounts(buckets, self.sum_seconds - before.sum_seconds)

    def calls(self) -> int:
        """Returns the number of calls."""
        return int(max(self.buckets.values(), default=0.0))

    def mean_ms(self) -> float:
        """Returns the mean time, in ms."""
        return 1000.0 * self.sum_seconds / max(1, self.calls())

    def percentile_ms(self, share: float) -> float:
        """Returns the upper bound of the bucket that holds a percentile, in ms."""
        for bound, count in sorted(self.buckets.items()):
            if count >= share * self.calls():
                return 1000.0 * bound
        return 0.0


def read_stages(fleet: Fleet, pair: NodePair) -> dict[Stage, StageCounts]:
    """Reads the stages of a node; empty for a source tree that does not export them."""
    url = f"http://{LOOPBACK}:{pair.admin_port}/metrics"
    reply = fleet.http.request("GET", url, timeout=5.0)
    return parse_stages(reply.data.decode("utf-8"))


def parse_stages(metrics: str) -> dict[Stage, StageCounts]:
    """Parses the stages from the text of a node's metrics."""
    buckets: dict[Stage, dict[float, float]] = defaultdict(dict)
    sums: dict[Stage, float] = {}
    for line in metrics.splitlines():
        sample = SAMPLE_PATTERN.fullmatch(line)
        if sample is None:
            continue
        kind, labels, value = sample.groups()
        found = dict(LABEL_PATTERN.findall(labels))
        stage = Stage(found["stage"])
        if kind == "_sum":
            sums[stage] = float(value)
        elif "le" in found:
            buckets[stage][float(found["le"])] = float(value)
    return {stage: StageCounts(buckets[stage], seconds) for stage, seconds in sums.items()}


def print_stages(before: dict[Stage, StageCounts], after: dict[Stage, StageCounts]) -> None:
    """Prints the statistics of each stage between two readings."""
    if not after:
        return
    print("stages in the node, ms; percentiles are upper bounds of buckets")
    for stage in Stage:
        if stage not in after:
            continue
        counts = after[stage].since(before.get(stage, StageCounts({}, 0.0)))
        print(
            f"{stage.value:10} {counts.calls():6} calls  mean {counts.mean_ms():6.3f}  "
            f"p50 {counts.percentile_ms(0.5):6.2f}  p99 {counts.percentile_ms(0.99):6.2f}"
        )
