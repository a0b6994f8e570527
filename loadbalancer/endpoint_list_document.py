"""Iterates over the entries of an endpoint list in JSON, without holding all of them as decoded objects.

A decoded entry occupies several times the memory of its text, and lists may have thousands.
"""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

_WHITE_SPACE = re.compile(r"[ \t\n\r]*")
_UNEXPECTED_TOKEN = "another token is expected"
_EXTRA_DATA = "extra data"
_NAME_IS_NO_STRING = "a name is expected in double quotes"
_DECODER = json.JSONDecoder()


class _Cursor:
    """A position in a JSON text."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._position = 0
        self.skip_white_space()

    def skip_white_space(self) -> None:
        match = _WHITE_SPACE.match(self._text, self._position)
        if match is not None:
            self._position = match.end()

    def skip(self, token: str) -> bool:
        """Skip a token of one character, and white space behind it; return false if it is not there."""
        if not self._text.startswith(token, self._position):
            return False
        self._position += len(token)
        self.skip_white_space()
        return True

    def expect(self, token: str) -> None:
        if not self.skip(token):
            raise self.error(_UNEXPECTED_TOKEN)

    def decode_value(self) -> Any:
        value, self._position = _DECODER.raw_decode(self._text, self._position)
        self.skip_white_space()
        return value

    def expect_end(self) -> None:
        if self._position != len(self._text):
            raise self.error(_EXTRA_DATA)

    def error(self, message: str) -> json.JSONDecodeError:
        return json.JSONDecodeError(message, self._text, self._position)


def read_document(body: bytes, array_name: str, read_entry: Callable[[Any], object]) -> dict[str, Any]:
    """Decode a JSON object, one field of which is an array, and convert each element as it is decoded.

    Args:
        body: The JSON text, in UTF-8, UTF-16 or UTF-32.
        array_name: The name of the array.
        read_entry: Converts a decoded element of the array.

    Returns:
        The fields of the object; that of `array_name` is a list of converted elements.

    Raises:
        ValueError: The text is not JSON, or not an object.
    """
    cursor = _Cursor(body.decode(json.detect_encoding(body), "surrogatepass"))
    fields: dict[str, Any] = {}
    for name in _iterate_fields(cursor):
        if name == array_name and cursor.skip("["):
            fields[name] = [read_entry(entry) for entry in _iterate_elements(cursor)]
        else:
            fields[name] = cursor.decode_value()
    cursor.expect_end()
    return fields


def _iterate_fields(cursor: _Cursor) -> Iterator[str]:
    """Yield the name of each field; the caller moves the cursor behind its value."""
    cursor.expect("{")
    if cursor.skip("}"):
        return
    while True:
        name = cursor.decode_value()
        if not isinstance(name, str):
            raise cursor.error(_NAME_IS_NO_STRING)
        cursor.expect(":")
        yield name
        if cursor.skip("}"):
            return
        cursor.expect(",")


def _iterate_elements(cursor: _Cursor) -> Iterator[Any]:
    """Yield the elements of an array, behind its bracket."""
    if cursor.skip("]"):
        return
    while True:
        yield cursor.decode_value()
        if cursor.skip("]"):
            return
        cursor.expect(",")
