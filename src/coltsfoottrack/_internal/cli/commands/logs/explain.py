"""``coltsfoottrack logs explain``: explains the result of a request from the nodes' logs."""

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.log_files import (
    line_document,
    line_text,
    missing_notes,
    read_files,
)
from coltsfoottrack._internal.cli.output import check_output, emit
from coltsfoottrack._internal.decision_log.explanation import Explanation, explain_request

INDENT = "  "


@SetParseFn(str)
def explain_logged_request(request_id: str, *files: str, output: str = "text") -> None:
    """Explains the result of a request and of its calls from the nodes' standard output.

    Args:
        request_id: Identifier of the request.
        files: Files with the standard output of nodes, - for standard input.
        output: text or json.
    """
    check_output(output)
    found = read_files(files)
    explanation = explain_request(request_id, found.lines)
    emit(output, _document(explanation), _lines(explanation) + missing_notes(found))


def _lines(explanation: Explanation, depth: int = 0) -> list[str]:
    indent = INDENT * depth
    lines = [f"{indent}{explanation.request_id}: {explanation.verdict}"]
    for step in explanation.steps:
        lines.append(f"{indent}{INDENT}{step}")
    for line in explanation.context:
        lines.append(f"{indent}{INDENT}before: {line_text(line)}")
    for call in explanation.calls:
        lines.append(f"{indent}{INDENT}it needed a call that was not served:")
        lines.extend(_lines(call, depth + 2))
    return lines


def _document(explanation: Explanation) -> dict[str, object]:
    return {
        "request_id": explanation.request_id,
        "verdict": explanation.verdict,
        "steps": explanation.steps,
        "context": [line_document(line) for line in explanation.context],
        "calls": [_document(call) for call in explanation.calls],
        "lines": [line_document(line) for line in explanation.lines],
    }
