"""Messages of the connection itself."""

from __future__ import annotations

from attrs import frozen


@frozen
class Challenge:
    """First message of the accepting side."""

    nonce: bytes


@frozen
class Hello:
    """Who connects, with proof that it holds the identity's key.

    ``identity`` is ``vm/NAME`` for the system's own processes or
    ``operator/NAME``.
    """

    identity: str
    nonce: bytes
    proof: bytes


@frozen
class Welcome:
    """Proof of the accepting side."""

    proof: bytes


@frozen
class Envelope:
    """A message with its place in the conversation.

    ``call`` is 0 for a one-way message; a reply repeats its request's.
    """

    call: int
    reply: bool
    body: bytes
