"""Framing of bodies: by an announced length, or in chunks.

The bytes of a chunked body that are no content (sizes, extensions, line ends) are
bounded in relation to its content, and trailers are dropped.
"""

from __future__ import annotations

import re
from typing import Protocol

from attrs import frozen

from berylnotch.errors import RequestError

#: Bytes of chunk sizes, extensions and line ends that a body may have in addition to
#: one for each byte of its content. Clients send chunks of many bytes; chunks of one
#: byte take five bytes around each, which this allows for bodies up to 16 KiB.
MAX_CHUNK_OVERHEAD_BYTES = 64 * 1024

#: Longest line with the size and the extensions of a chunk, in bytes.
MAX_CHUNK_LINE_BYTES = 4096

#: Maximum size of all trailers of a message in bytes, as for its headers by default.
MAX_TRAILER_BYTES = 16 * 1024


@frozen
class ChunkRules:
    """What a body in chunks may look like.

    Attributes
    ----------
    chunk_line : re.Pattern
        Line with the size of a chunk, in at most 15 significant hexadecimal digits as
        the first group, and its extensions.
    trailer : re.Pattern
        Line of a trailer.
    overhead_per_byte : int
        Bytes of sizes, extensions and line ends for each byte of the content, in
        addition to `MAX_CHUNK_OVERHEAD_BYTES`.
    """

    chunk_line: re.Pattern[bytes]
    trailer: re.Pattern[bytes]
    overhead_per_byte: int


#: Rules for requests, whose trailers are not read.
REQUEST_CHUNKS = ChunkRules(
    chunk_line=re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r\n"),
    trailer=re.compile(rb"[^\n]*:[^\n]*\r\n"),
    overhead_per_byte=1,
)

#: Rules for responses, which are those of the protocol. A server may send chunks of one
#: byte, which take five bytes around each.
RESPONSE_CHUNKS = ChunkRules(
    chunk_line=re.compile(
        rb"0*([0-9A-Fa-f]{1,15})(?:[ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n"
    ),
    trailer=re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n"),
    overhead_per_byte=5,
)


class UnreadableRequestError(RequestError):
    """A request that is refused with ``status`` before it is read in full."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class BodyFraming(Protocol):
    """Finds the content and the end of one body."""

    @property
    def is_complete(self) -> bool:
        """Whether the end of the body was found."""

    def feed(self, data: bytes, body: bytearray, max_bytes: int) -> int:
        """Append the content in ``data`` to a body; return the bytes consumed."""


class LengthFraming:
    """Body whose length was announced.

    Parameters
    ----------
    length_bytes : int
        Length of the body.
    """

    def __init__(self, length_bytes: int) -> None:
        self._left_bytes = length_bytes

    @property
    def is_complete(self) -> bool:
        """Whether the body is whole."""
        return not self._left_bytes

    def feed(self, data: bytes, body: bytearray, max_bytes: int) -> int:
        """Append to the body, and return how many bytes belong to it."""
        taken_bytes = min(len(data), self._left_bytes)
        body += memoryview(data)[:taken_bytes]
        self._left_bytes -= taken_bytes
        return taken_bytes


class ChunkedFraming:
    """Body in chunks, each byte of which is looked at once.

    Parameters
    ----------
    rules : ChunkRules
        What the body may look like.
    """

    def __init__(self, rules: ChunkRules = REQUEST_CHUNKS) -> None:
        self._rules = rules
        self._content_bytes = 0
        self._on_line = self._start_chunk
        self._line = bytearray()
        self._left_bytes = 0
        self._overhead_bytes = 0
        self._trailer_bytes = 0
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Whether the empty line after the last chunk was read."""
        return self._is_complete

    def feed(self, data: bytes, body: bytearray, max_bytes: int) -> int:
        """Append the content of chunks to the body; return the bytes consumed.

        Raises
        ------
        UnreadableRequestError
            If a chunk is malformed, the body is larger than ``max_bytes``, or the bytes
            around its content exceed their limits.
        """
        position = 0
        while position < len(data) and not self._is_complete:
            if self._left_bytes:
                taken_bytes = min(self._left_bytes, len(data) - position)
                body += memoryview(data)[position : position + taken_bytes]
                self._left_bytes -= taken_bytes
                self._content_bytes += taken_bytes
                position += taken_bytes
                continue
            end = data.find(b"\n", position) + 1 or len(data)
            self._line += memoryview(data)[position:end]
            self._count_overhead(end - position)
            position = end
            if self._line.endswith(b"\n"):
                line = bytes(self._line)
                self._line.clear()
                self._on_line(line)
                if self._content_bytes + self._left_bytes > max_bytes:
                    raise UnreadableRequestError(413, "body too large")
        return position

    def _count_overhead(self, size_bytes: int) -> None:
        if self._on_line == self._read_trailer:
            self._trailer_bytes += size_bytes
            if self._trailer_bytes > MAX_TRAILER_BYTES:
                raise UnreadableRequestError(431, "trailers too large")
            return
        self._overhead_bytes += size_bytes
        max_bytes = self._rules.overhead_per_byte * self._content_bytes
        max_bytes += MAX_CHUNK_OVERHEAD_BYTES
        if len(self._line) > MAX_CHUNK_LINE_BYTES or self._overhead_bytes > max_bytes:
            raise UnreadableRequestError(413, "too many bytes around chunks")

    def _start_chunk(self, line: bytes) -> None:
        match = self._rules.chunk_line.fullmatch(line)
        if match is None:
            raise UnreadableRequestError(400, "malformed chunk size")
        self._left_bytes = int(match[1], 16)
        self._on_line = self._end_chunk if self._left_bytes else self._read_trailer

    def _end_chunk(self, line: bytes) -> None:
        if line != b"\r\n":
            raise UnreadableRequestError(400, "chunk is longer than its size")
        self._on_line = self._start_chunk

    def _read_trailer(self, line: bytes) -> None:
        # Trailers arrive after the headers were checked, so they are dropped.
        if line == b"\r\n":
            self._is_complete = True
        elif not self._rules.trailer.fullmatch(line):
            raise UnreadableRequestError(400, "malformed trailer")
