"""Selects the customers that have metrics of their own."""

from collections import Counter

MAX_LABELLED_CUSTOMERS = 20
# Label value of all other customers; a customer cannot have an empty name.
OTHERS = ""


def labelled_answers(answers: dict[str, dict[str, int]]) -> dict[tuple[str, str], int]:
    """Returns the answers by customer and reason, with all but the largest customers together.

    ``answers`` holds the counts by customer and reason. Two customers of nearly the same size may
    change places, which a reader of the metrics sees as a reset of the counters.
    """
    totals = {name: sum(reasons.values()) for name, reasons in answers.items()}
    largest = sorted(totals, key=lambda name: (-totals[name], name))[:MAX_LABELLED_CUSTOMERS]
    own = set(largest)
    labelled: Counter[tuple[str, str]] = Counter()
    for name, reasons in answers.items():
        label = name if name in own else OTHERS
        for reason, count in reasons.items():
            labelled[(label, reason)] += count
    return labelled
