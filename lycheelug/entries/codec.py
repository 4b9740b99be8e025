"""A MessagePack codec for grpclib, over msgspec.

Decoders are cached by type.  Both sides reject a message that exceeds the
size limit or does not match its type, with a gRPC status.  grpclib reads a
whole message before it is decoded.  So the limit only bounds what is decoded
and kept; the deadline of the call bounds the reading.
"""

from __future__ import annotations

from typing import Any, Final

import msgspec
from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError
from returns.result import Failure

from lycheelug.decoding import decode_with

__all__ = ["MAX_MESSAGE_BYTES", "MessagePackCodec"]

MAX_MESSAGE_BYTES: Final = 1 << 20


class MessagePackCodec(CodecBase):
    """Encodes and decodes msgspec structs as MessagePack."""

    __content_subtype__ = "msgpack"

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._max_message_bytes = max_message_bytes
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[Any, msgspec.msgpack.Decoder[Any]] = {}

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded message; raise GRPCError if it is too large."""
        data = self._encoder.encode(message)
        self._check_size(data)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the decoded message; raise GRPCError if it is invalid."""
        self._check_size(data)
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self._decoders[message_type] = decoder
        decoded = decode_with(decoder.decode, data)
        if isinstance(decoded, Failure):
            raise GRPCError(Status.INVALID_ARGUMENT, decoded.failure())
        return decoded.unwrap()

    def _check_size(self, data: bytes) -> None:
        if len(data) <= self._max_message_bytes:
            return
        raise GRPCError(
            Status.RESOURCE_EXHAUSTED,
            f"message of {len(data)} bytes is over the limit",
        )
