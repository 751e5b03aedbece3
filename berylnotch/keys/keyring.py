"""Callers' keys, held as keyed hashes."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Iterator

from attrs import frozen

from berylnotch.keys.errors import KeyExistsError

#: Prefix by which secret scanners and people know a key.
KEY_PREFIX = "bn-"
#: Random bytes of a key's secret part.
KEY_BYTES = 32
#: Random bytes of a key's id.
KEY_ID_BYTES = 6
#: Length of a keyed hash, in bytes.
KEY_HASH_BYTES = 32


@frozen
class NewKey:
    """A key just made; only the caller keeps ``key``."""

    key_id: str
    key: str


@frozen
class HeldKey:
    """An accepted key."""

    key_id: str
    organisation: str
    key_hash: bytes


def new_key() -> NewKey:
    """Make a random key."""
    key_id = secrets.token_hex(KEY_ID_BYTES)
    return NewKey(key_id, f"{KEY_PREFIX}{key_id}-{secrets.token_urlsafe(KEY_BYTES)}")


def digest_key(key: str) -> bytes:
    """Return what an operator's tool sends instead of the key.

    A key is random and long, so that its plain digest does not give it away.
    """
    data = b"caller-key\0" + key.encode("utf-8", "surrogatepass")
    return hashlib.sha256(data).digest()


def hash_digest(secret: bytes, digest: bytes) -> bytes:
    """Return the keyed hash under which the key with this digest is stored.

    Parameters
    ----------
    secret : bytes
        Secret that the controllers and routers share. Who holds the stored
        hash or the digest alone cannot tell whether they belong together.
    digest : bytes
        Result of `digest_key`.
    """
    return hmac.digest(secret, digest, "sha256")


def hash_key(secret: bytes, key: str) -> bytes:
    """Return the keyed hash of a key as a caller sends it."""
    return hash_digest(secret, digest_key(key))


class Keyring:
    """Accepted keys by hash and by id."""

    def __init__(self) -> None:
        self._by_hash: dict[bytes, HeldKey] = {}
        self._by_id: dict[str, HeldKey] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[HeldKey]:
        return iter(self._by_id.values())

    def give(self, key: HeldKey) -> None:
        """Accept a key.

        Raises
        ------
        KeyExistsError
            If the id or the hash is held already.
        """
        if key.key_id in self._by_id:
            raise KeyExistsError(f"key {key.key_id} exists already")
        if key.key_hash in self._by_hash:
            held = self._by_hash[key.key_hash]
            raise KeyExistsError(f"the same key is held as {held.key_id}")
        self._by_id[key.key_id] = key
        self._by_hash[key.key_hash] = key

    def withdraw(self, key_id: str) -> HeldKey | None:
        """Stop accepting a key; return it, or None if it is not held."""
        key = self._by_id.pop(key_id, None)
        if key is not None:
            del self._by_hash[key.key_hash]
        return key

    def find(self, key_hash: bytes) -> HeldKey | None:
        """Return the key with this hash."""
        return self._by_hash.get(key_hash)

    def get(self, key_id: str) -> HeldKey | None:
        """Return the key with this id."""
        return self._by_id.get(key_id)
