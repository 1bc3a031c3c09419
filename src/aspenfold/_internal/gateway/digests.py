"""Digests of what requests have in common, short enough for datagrams."""

import base64
import hashlib

DIGEST_BYTES = 8


def create(data: bytes = b'') -> hashlib.blake2b:
    """Return the hash of ``data``, to which more can be added."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES)


def encode(value: hashlib.blake2b) -> str:
    """Return a hash as text."""
    return base64.urlsafe_b64encode(value.digest()).rstrip(b'=').decode()
