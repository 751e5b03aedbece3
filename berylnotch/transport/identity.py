"""Identities of processes and operators, and the keys that prove them."""

from __future__ import annotations

import hashlib
import hmac

#: Prefix of the identity of one of the system's own processes.
VM_PREFIX = "vm/"

#: Prefix of an operator's identity.
OPERATOR_PREFIX = "operator/"

#: Name whose key signs references to streams.
STREAM_KEY_NAME = "stream-references"

#: Name whose key is used for the keyed hashes of callers' keys.
CALLER_KEY_NAME = "caller-keys"

#: Minimum length of a cluster secret in bytes.
MIN_SECRET_BYTES = 16


def identity_key(secret: bytes, identity: str) -> bytes:
    """Derive the key of one identity from the cluster secret.

    An operator holds only its derived key, so it cannot impersonate a VM.

    Parameters
    ----------
    secret : bytes
        Cluster secret, which every process of the system reads from a file.
    identity : str
        ``vm/NAME`` or ``operator/NAME``.

    Returns
    -------
    bytes
        Key of 32 bytes.
    """
    return hmac.digest(secret, b"identity:" + identity.encode(), hashlib.sha256)


def operator_name(identity: str) -> str:
    """Return the operator's name, or an empty string for another identity."""
    if identity.startswith(OPERATOR_PREFIX):
        return identity.removeprefix(OPERATOR_PREFIX)
    return ""


def is_vm(identity: str) -> bool:
    """Return whether the identity belongs to one of the system's own processes."""
    return identity.startswith(VM_PREFIX)
