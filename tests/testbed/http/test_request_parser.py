"""The request parser of the testbed's servers."""

from __future__ import annotations

import pytest

from testbed.http.request_parser import HttpRequest, MalformedRequestError, RequestParser


def test_offer_of_another_protocol_is_malformed() -> None:
    """Guards against a body that httptools leaves out, behind a head that offers another protocol."""
    requests: list[HttpRequest] = []
    parser = RequestParser(requests.append)
    with pytest.raises(MalformedRequestError):
        parser.feed(b"POST /x HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\nContent-Length: 2\r\n\r\n{}")
