"""An HTTP/1.1 client and server, built on h11 and asyncio protocols."""

from lycheelug.http.client import ClientConnection, ExchangeFault, HttpClient
from lycheelug.http.limits import ProgressLimits
from lycheelug.http.messages import (
    HOP_BY_HOP,
    Answer,
    RawHeaders,
    Request,
    end_to_end_headers,
    find_header,
    json_answer,
)
from lycheelug.http.server import HttpServer, ServerLimits

__all__ = [
    "HOP_BY_HOP",
    "Answer",
    "ClientConnection",
    "ExchangeFault",
    "HttpClient",
    "HttpServer",
    "ProgressLimits",
    "RawHeaders",
    "Request",
    "ServerLimits",
    "end_to_end_headers",
    "find_header",
    "json_answer",
]
