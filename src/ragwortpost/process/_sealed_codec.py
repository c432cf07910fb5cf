"""Encrypts and authenticates every message between processes.

A codec for grpclib: a message goes over the wire as a nonce and the sealed
protobuf bytes, under the key that all processes of the system share.
"""

import os
from typing import Any, Final

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import ChaCha20Poly1305
from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError

_NONCE_BYTES: Final = 12


class SealedCodec(CodecBase):  # type: ignore[misc]
    """Protobuf messages sealed with ChaCha20-Poly1305."""

    __content_subtype__ = 'sealed'

    def __init__(self, key: bytes) -> None:
        """Use ``key``, 32 bytes."""
        self._cipher = ChaCha20Poly1305(key)

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the sealed bytes of a message."""
        nonce = os.urandom(_NONCE_BYTES)
        plain = message.SerializeToString()
        return nonce + self._cipher.encrypt(nonce, plain, None)

    def decode(self, sealed: bytes, message_type: Any) -> Any:
        """Return the message, or raise if this key did not seal it."""
        nonce = sealed[:_NONCE_BYTES]
        try:
            plain = self._cipher.decrypt(nonce, sealed[_NONCE_BYTES:], None)
        except (InvalidTag, ValueError) as error:
            raise GRPCError(Status.UNAUTHENTICATED, 'unknown peer') from error
        return message_type.FromString(plain)
