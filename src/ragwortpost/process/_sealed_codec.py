"""Encrypts and authenticates every gRPC message between processes.

The codec is used by grpclib. On the wire a message is a nonce followed by the
encrypted protobuf bytes, under the key that all processes share.
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
    """Encodes protobuf messages encrypted with ChaCha20-Poly1305."""

    __content_subtype__ = 'sealed'

    def __init__(self, key: bytes) -> None:
        """Initialize with a key of 32 bytes."""
        self._cipher = ChaCha20Poly1305(key)

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encrypted bytes of a message."""
        nonce = os.urandom(_NONCE_BYTES)
        plain = message.SerializeToString()
        return nonce + self._cipher.encrypt(nonce, plain, None)

    def decode(self, sealed: bytes, message_type: Any) -> Any:
        """Return the message.

        Raises :class:`GRPCError` if it was encrypted with another key or
        altered.
        """
        nonce = sealed[:_NONCE_BYTES]
        try:
            plain = self._cipher.decrypt(nonce, sealed[_NONCE_BYTES:], None)
        except (InvalidTag, ValueError) as error:
            raise GRPCError(Status.UNAUTHENTICATED, 'unknown peer') from error
        return message_type.FromString(plain)
