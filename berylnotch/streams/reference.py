"""Signed references with which a caller resumes its stream at any router.

An event's id has the form ``BASE.N``. ``BASE`` is signed once per stream and
encodes the organisation, the request and the weights version; ``N`` is the number
of the event. ``N`` needs no signature: a caller that changes it only requests its
own stream from another position.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import re

from attrs import evolve, frozen

from berylnotch.streams.errors import StreamReferenceError

#: Length of a stream's random identifier, in bytes.
STREAM_ID_BYTES = 8
#: Length of a request's fingerprint, in bytes.
FINGERPRINT_BYTES = 16
_SIGNATURE_BYTES = 16
_SIGNATURE_CONTEXT = b"berylnotch stream reference 1\0"
_MAX_REFERENCE_LENGTH = 1024
_REFERENCE_PATTERN = re.compile(r"([A-Za-z0-9_-]+)\.(0|[1-9][0-9]{0,8})")


@frozen
class StreamPosition:
    """Position in one stream.

    Attributes
    ----------
    stream : bytes
        Random identifier of `STREAM_ID_BYTES`.
    organisation : str
        Organisation of the key that started the stream.
    fingerprint : bytes
        Fingerprint of the request, of `FINGERPRINT_BYTES`.
    weights : str
        Weights version with which the stream started.
    position : int
        Number of the last event delivered; 0 before the first.
    """

    stream: bytes
    organisation: str
    fingerprint: bytes
    weights: str
    position: int = 0


def fingerprint(organisation: str, path: str, body: bytes) -> bytes:
    """Return the fingerprint of a request; equal requests have equal fingerprints."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (organisation.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def sign_base(secret: bytes, position: StreamPosition) -> str:
    """Return the signed ``BASE`` that the ids of all events of a stream share."""
    payload = _pack(position)
    encoded = base64.urlsafe_b64encode(payload + _signature(secret, payload))
    return encoded.rstrip(b"=").decode()


def sign(secret: bytes, position: StreamPosition) -> str:
    """Return the reference ``BASE.N`` to a position."""
    return f"{sign_base(secret, position)}.{position.position}"


def verify(secret: bytes, reference: str) -> StreamPosition:
    """Return the position that a reference encodes.

    Raises
    ------
    StreamReferenceError
        If the reference is malformed or was not signed with ``secret``.
    """
    match = (
        _REFERENCE_PATTERN.fullmatch(reference)
        if len(reference) <= _MAX_REFERENCE_LENGTH
        else None
    )
    if match is None:
        raise StreamReferenceError("malformed stream reference")
    base, number = match.groups()
    try:
        decoded = base64.urlsafe_b64decode(base + "=" * (-len(base) % 4))
    except binascii.Error as error:
        raise StreamReferenceError("malformed stream reference") from error
    payload, signature = decoded[:-_SIGNATURE_BYTES], decoded[-_SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _signature(secret, payload)):
        raise StreamReferenceError("stream reference with a wrong signature")
    return evolve(_unpack(payload), position=int(number))


def _signature(secret: bytes, payload: bytes) -> bytes:
    digest = hmac.new(secret, _SIGNATURE_CONTEXT + payload, hashlib.sha256).digest()
    return digest[:_SIGNATURE_BYTES]


def _pack(position: StreamPosition) -> bytes:
    organisation = position.organisation.encode()
    if len(organisation) > 255:
        raise StreamReferenceError("organisation's name is too long")
    if len(position.stream) != STREAM_ID_BYTES:
        raise StreamReferenceError("stream identifier has a wrong length")
    if len(position.fingerprint) != FINGERPRINT_BYTES:
        raise StreamReferenceError("fingerprint has a wrong length")
    return b"".join(
        (
            position.stream,
            position.fingerprint,
            bytes((len(organisation),)),
            organisation,
            position.weights.encode(),
        )
    )


def _unpack(payload: bytes) -> StreamPosition:
    start = STREAM_ID_BYTES + FINGERPRINT_BYTES
    end = start + 1 + payload[start]
    return StreamPosition(
        stream=payload[:STREAM_ID_BYTES],
        fingerprint=payload[STREAM_ID_BYTES:start],
        organisation=payload[start + 1 : end].decode(),
        weights=payload[end:].decode(),
    )
