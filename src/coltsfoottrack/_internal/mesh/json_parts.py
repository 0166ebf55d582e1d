"""Splits JSON text into its parts without parsing them, so that one bad part spoils no other."""

from collections.abc import Iterator
from re import DOTALL, compile

from orjson import JSONDecodeError, loads

# A string, or one character that gives the text its structure.
TOKEN = compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]', DOTALL)
OPENING = b"[{"
CLOSING = b"]}"


def split_array(text: bytes) -> list[bytes]:
    """Returns the text of each element of an array, none if the text is not an array."""
    text = text.strip()
    if not text.startswith(b"["):
        return []
    return [part for part in _split(text) if part]


def split_object(text: bytes) -> dict[str, bytes]:
    """Returns the text of each value of an object by its name, none if it is not an object.

    A name that cannot be read is left out with its value.
    """
    text = text.strip()
    if not text.startswith(b"{"):
        return {}
    values = {}
    for part in _split(text):
        name = TOKEN.match(part)
        if name is None or part[name.end() :].lstrip()[:1] != b":":
            continue
        try:
            key = loads(name.group())
        except JSONDecodeError:
            continue
        values[key] = part[name.end() :].lstrip()[1:].strip()
    return values


def _split(text: bytes) -> Iterator[bytes]:
    """Returns the texts between the outermost brackets and commas; cost is linear in the text."""
    depth = 0
    start = 1
    for token in TOKEN.finditer(text):
        mark = token.group()
        if mark in OPENING:
            depth += 1
        elif mark in CLOSING:
            depth -= 1
            if depth == 0:
                yield text[start : token.start()].strip()
                return
        elif mark == b"," and depth == 1:
            yield text[start : token.start()].strip()
            start = token.end()
