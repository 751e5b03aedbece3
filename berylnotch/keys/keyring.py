"""Callers' keys, stored as keyed hashes."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Iterator

from attrs import frozen

from berylnotch.keys.errors import KeyExistsError

#: Prefix by which secret scanners and people recognise a key.
KEY_PREFIX = "bn-"
#: Number of random bytes in the secret part of a key.
KEY_BYTES = 32
#: Number of random bytes in a key ID.
KEY_ID_BYTES = 6
#: Length of a keyed hash, in bytes.
KEY_HASH_BYTES = 32


@frozen
class GeneratedKey:
    """A generated key; ``key`` itself is given to the caller and not stored."""

    key_id: str
    key: str


@frozen
class AcceptedKey:
    """An accepted key, identified by its keyed hash."""

    key_id: str
    organisation: str
    key_hash: bytes


def generate_key() -> GeneratedKey:
    """Generate a random key."""
    key_id = secrets.token_hex(KEY_ID_BYTES)
    return GeneratedKey(
        key_id, f"{KEY_PREFIX}{key_id}-{secrets.token_urlsafe(KEY_BYTES)}"
    )


def digest_key(key: str) -> bytes:
    """Return the digest that the operators' tool sends instead of the key.

    Keys are long and random, so that a key cannot be found from its unkeyed digest.
    """
    data = b"caller-key\0" + key.encode("utf-8", "surrogatepass")
    return hashlib.sha256(data).digest()


def hash_digest(secret: bytes, digest: bytes) -> bytes:
    """Return the keyed hash that is stored for the key with this digest.

    Parameters
    ----------
    secret : bytes
        Secret that the controllers and routers share. Without it, a stored hash
        cannot be matched with a digest.
    digest : bytes
        Result of `digest_key`.
    """
    return hmac.digest(secret, digest, "sha256")


def hash_key(secret: bytes, key: str) -> bytes:
    """Return the keyed hash of a key, where ``key`` is the form that callers send."""
    return hash_digest(secret, digest_key(key))


class Keyring:
    """Accepted keys, indexed by hash and by ID."""

    def __init__(self) -> None:
        self._by_hash: dict[bytes, AcceptedKey] = {}
        self._by_id: dict[str, AcceptedKey] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[AcceptedKey]:
        return iter(self._by_id.values())

    def add(self, key: AcceptedKey) -> None:
        """Accept a key.

        Raises
        ------
        KeyExistsError
            If a key with this ID or hash exists already.
        """
        if key.key_id in self._by_id:
            raise KeyExistsError(f"key {key.key_id} exists already")
        if key.key_hash in self._by_hash:
            existing = self._by_hash[key.key_hash]
            raise KeyExistsError(f"the same key exists as {existing.key_id}")
        self._by_id[key.key_id] = key
        self._by_hash[key.key_hash] = key

    def remove(self, key_id: str) -> AcceptedKey | None:
        """Stop accepting a key; return it, or None if there is no such key."""
        key = self._by_id.pop(key_id, None)
        if key is not None:
            del self._by_hash[key.key_hash]
        return key

    def find_by_hash(self, key_hash: bytes) -> AcceptedKey | None:
        """Return the key with this hash, or None."""
        return self._by_hash.get(key_hash)

    def find_by_id(self, key_id: str) -> AcceptedKey | None:
        """Return the key with this ID, or None."""
        return self._by_id.get(key_id)
