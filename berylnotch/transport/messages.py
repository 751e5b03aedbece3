"""Messages of the handshake, and the envelope of all later messages."""

from __future__ import annotations

from attrs import frozen


@frozen
class Challenge:
    """First message of a connection, sent by the accepting side."""

    nonce: bytes


@frozen
class Hello:
    """Identity of the connecting side, with proof that it holds the identity's key.

    ``identity`` is ``vm/NAME`` for the system's own processes or
    ``operator/NAME``.
    """

    identity: str
    nonce: bytes
    proof: bytes


@frozen
class Welcome:
    """Proof that the accepting side holds the key of the connecting side."""

    proof: bytes


@frozen
class Envelope:
    """A message with the data that matches a reply with its request.

    ``call`` is 0 for a one-way message. A reply repeats the ``call`` of its request.
    """

    call: int
    reply: bool
    body: bytes
