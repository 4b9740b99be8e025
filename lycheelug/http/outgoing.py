"""Encodes complete answers for a server connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import h11

from lycheelug.http.messages import find_header

if TYPE_CHECKING:
    from lycheelug.http.messages import Answer

__all__ = ["encode_answer"]

# Events are immutable, so one object can be sent repeatedly.
END_OF_MESSAGE: Final = h11.EndOfMessage()


def encode_answer(
    connection: h11.Connection, answer: Answer, *, close: bool, has_body: bool
) -> bytes:
    """Return the bytes of an answer, with its length as framing."""
    headers = list(answer.headers)
    if close:
        headers.append((b"connection", b"close"))
    if find_header(headers, b"content-length") is None:
        length = b"%d" % len(answer.body)
        headers.append((b"content-length", length))
    head = h11.Response(status_code=answer.status, headers=headers)
    data = connection.send(head) or b""
    if answer.body and has_body:
        data += connection.send(h11.Data(data=answer.body)) or b""
    return data + (connection.send(END_OF_MESSAGE) or b"")
