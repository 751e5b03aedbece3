"""Chains of prefix hashes."""

from __future__ import annotations

import hashlib

from attrs import frozen

#: Bytes in one hash of a chain.
HASH_BYTES = 16

#: Prompt bytes in one piece unless the settings say otherwise.
DEFAULT_PIECE_BYTES = 4096

_SEED_LABEL = b"berylnotch chain 1"


@frozen
class Scope:
    """What must be equal for two requests to share cached pieces."""

    organisation: str
    service: str
    weights: str


def hash_chain(
    scope: Scope, prompt: bytes, piece_bytes: int = DEFAULT_PIECE_BYTES
) -> tuple[bytes, ...]:
    """Hash each prefix of whole pieces.

    Hash ``i`` covers the scope and the first ``i + 1`` pieces, so two prompts
    share a hash only if they share the scope and everything up to there.

    Parameters
    ----------
    scope : Scope
        Organisation, service and weights version of the request.
    prompt : bytes
        The prompt as the engine will see it.
    piece_bytes : int, default=4096
        Length of one piece.

    Returns
    -------
    tuple of bytes
        One hash of ``HASH_BYTES`` for each full piece; a shorter rest is left
        out.
    """
    previous = _seed(scope)
    chain = []
    view = memoryview(prompt)
    for end in range(piece_bytes, len(prompt) + 1, piece_bytes):
        digest = hashlib.sha256(previous)
        digest.update(view[end - piece_bytes : end])
        previous = digest.digest()[:HASH_BYTES]
        chain.append(previous)
    return tuple(chain)


def _seed(scope: Scope) -> bytes:
    digest = hashlib.sha256(_SEED_LABEL)
    for part in (scope.organisation, scope.service, scope.weights):
        encoded = part.encode()
        # The length keeps ("ab", "c") and ("a", "bc") apart.
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return digest.digest()[:HASH_BYTES]
