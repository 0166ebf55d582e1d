"""Formats the trial reports of a scenario as text or JSON."""

from json import dumps

from coltsfoottrack._internal.experiment.scenarios import Scenario
from coltsfoottrack._internal.experiment.trial import TrialReport


def to_json(scenario: Scenario, reports: list[TrialReport]) -> str:
    """Returns the reports as one JSON object."""
    trials = []
    for report in reports:
        fields = report._asdict()
        fields["goodput_share"] = report.goodput_share
        fields["check"] = report.check._asdict()
        fields["returns"] = [recovery._asdict() for recovery in report.returns]
        fields["rows"] = [row._asdict() for row in report.rows]
        fields["lost"] = [row._asdict() for row in report.lost]
        trials.append(fields)
    return dumps({"scenario": scenario.name, "summary": scenario.summary, "trials": trials})


def to_text(scenario: Scenario, reports: list[TrialReport]) -> str:
    """Returns the reports as a human-readable table."""
    lines = [f"scenario {scenario.name}: {scenario.summary}"]
    for report in reports:
        lines.extend(_trial_lines(report))
    return "\n".join(lines)


def _outage_lines(report: TrialReport) -> list[str]:
    if report.possible_during is None:
        return []
    back = []
    for recovery in report.returns:
        back.append("never" if recovery.ready is None else f"{recovery.ready:.2f} s")
    share = report.goodput_during / max(report.possible_during, 0.1)
    return [
        f"nodes of the restarted service served again after {', '.join(back)}; possible until the "
        f"end of the trigger {report.possible_during:.1f}/s, reached {share:.1%} of it"
    ]


def _trial_lines(report: TrialReport) -> list[str]:
    recovery = "not reached" if report.recovery is None else f"{report.recovery:.2f} s"
    lines = [
        f"== {report.variant}",
        *_outage_lines(report),
        f"capacity {report.capacity:.1f}/s, during the trigger {report.capacity_during:.1f}/s; "
        f"offered {report.offered_before:.1f}/s, during {report.offered_during:.1f}/s",
        f"goodput before {report.goodput_before:.1f}/s, during {report.goodput_during:.1f}/s "
        f"({report.goodput_share:.1%} of the possible), after {report.goodput_after:.1f}/s",
        f"recovery {recovery}; wasted work {report.wasted_during:.1%} during, "
        f"{report.wasted_total:.1%} in all; critical requests lost {report.critical_lost}",
        f"{'phase':8}{'priority':11}{'sent':>6}{'done':>6}{'late':>6}{'refused':>9}"
        f"{'failed':>8}{'unknown':>9}{'p50 ms':>8}{'p99 ms':>8}",
    ]
    for row in report.rows:
        lines.append(
            f"{row.phase:8}{row.priority:11}{row.sent:6}{row.done:6}{row.late:6}"
            f"{row.refused:9}{row.failed:8}{row.unknown:9}{row.p50_ms:8.1f}{row.p99_ms:8.1f}"
        )
    for reason, count in report.reasons.items():
        lines.append(f"  {reason}: {count}")
    for row in report.lost:
        lines.append(f"  critical requests lost, {row.kind}, told {row.told}: {row.count}")
    check = report.check
    lines.append(
        f"run twice {check.run_twice}, run though refused {check.run_though_refused}, wrong "
        f"answers {check.wrong_answers}, violations logged {report.violations_logged}"
    )
    return lines
