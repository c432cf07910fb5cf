"""Connection ids that encode the upstream of their connection.

The layout is similar to the IETF's QUIC-LB draft: one format byte, the
upstream's short id, a nonce and a keyed authentication tag. Any entry that has
the key can route packets of established connections without a table.
"""

import hashlib
from typing import Final

from ragwortpost.version import SHORT_ID_BYTES, ShortId

CONNECTION_ID_BYTES: Final = 18
RESET_TOKEN_BYTES: Final = 16
_FORMAT: Final = 0x41
_NONCE_BYTES: Final = 7
_TAG_BYTES: Final = 4
_UPSTREAM_ID_END: Final = 1 + SHORT_ID_BYTES
_UNTAGGED_BYTES: Final = _UPSTREAM_ID_END + _NONCE_BYTES


class ConnectionIdCodec:
    """Issues and decodes connection ids with a shared key."""

    def __init__(self, key: bytes) -> None:
        """Initialize with the key, which has at most 64 bytes."""
        self._tag_hash = hashlib.blake2b(
            key=key,
            digest_size=_TAG_BYTES,
            person=b'connection-id',
        )
        self._reset_token_hash = hashlib.blake2b(
            key=key,
            digest_size=RESET_TOKEN_BYTES,
            person=b'reset-token',
        )

    def issue(self, upstream: ShortId, nonce: bytes) -> bytes:
        """Return a connection id.

        Uses the first seven bytes of ``nonce``, which must have at least that
        many.
        """
        body = bytes((_FORMAT,)) + upstream + nonce[:_NONCE_BYTES]
        return body + self._tag(body)

    def upstream_of(self, connection_id: bytes) -> ShortId | None:
        """Return the upstream that an id encodes, or none if it is invalid."""
        if len(connection_id) != CONNECTION_ID_BYTES:
            return None
        body = connection_id[:_UNTAGGED_BYTES]
        if self._tag(body) != connection_id[_UNTAGGED_BYTES:]:
            return None
        return ShortId(connection_id[1:_UPSTREAM_ID_END])

    def reset_token(self, connection_id: bytes) -> bytes:
        """Return an id's stateless reset token (RFC 9000, section 10.3)."""
        hasher = self._reset_token_hash.copy()
        hasher.update(connection_id)
        return hasher.digest()

    def _tag(self, body: bytes) -> bytes:
        hasher = self._tag_hash.copy()
        hasher.update(body)
        return hasher.digest()
