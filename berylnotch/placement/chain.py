"""Chains of prefix hashes, computed over fixed-size blocks of the prompt bytes."""

from __future__ import annotations

import hashlib

from attrs import frozen

#: Bytes in one hash of a chain.
HASH_BYTES = 16

#: Prompt bytes in one block, unless the settings specify another size.
DEFAULT_BLOCK_BYTES = 4096

_SEED_LABEL = b"berylnotch chain 1"


@frozen
class Scope:
    """Properties that must be equal for two requests to share cached blocks."""

    organisation: str
    service: str
    weights: str


def hash_chain(
    scope: Scope, prompt: bytes, block_bytes: int = DEFAULT_BLOCK_BYTES
) -> tuple[bytes, ...]:
    """Hash each prefix of the prompt that ends at a block boundary.

    Hash ``i`` covers the scope and the first ``i + 1`` blocks, so two prompts
    share a hash only if they share the scope and all bytes up to the end of block
    ``i``.

    Parameters
    ----------
    scope : Scope
        Organisation, service and weights version of the request.
    prompt : bytes
        The prompt as the engine receives it.
    block_bytes : int, default=4096
        Length of one block in bytes.

    Returns
    -------
    tuple of bytes
        One hash of ``HASH_BYTES`` for each full block; a partial last block has
        none.
    """
    previous = _seed(scope)
    chain = []
    view = memoryview(prompt)
    for end in range(block_bytes, len(prompt) + 1, block_bytes):
        digest = hashlib.sha256(previous)
        digest.update(view[end - block_bytes : end])
        previous = digest.digest()[:HASH_BYTES]
        chain.append(previous)
    return tuple(chain)


def _seed(scope: Scope) -> bytes:
    digest = hashlib.sha256(_SEED_LABEL)
    for part in (scope.organisation, scope.service, scope.weights):
        encoded = part.encode()
        # The length prefix gives ("ab", "c") and ("a", "bc") different seeds.
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return digest.digest()[:HASH_BYTES]
