"""Idempotency keys, each of which encodes the agent that owns it.

The owner issues the key and decides whether the key's request is run. An agent
that receives a request with another agent's key sends it to that owner, which
answers repeats from its record. If the owner no longer exists, it is unknown
whether the request was run, so no agent runs it again.
"""

import hashlib
import hmac
import re
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from result import Err, Ok, Result

from ragwortpost._errors import RagwortpostError
from ragwortpost.version import ShortId

_MAC_BYTES: Final = 8
_NONCE_BYTES: Final = 8
_INCARNATION_BYTES: Final = 4
_KEY_PATTERN: Final = re.compile(
    '(?P<owner>[0-9a-f]{12})-(?P<incarnation>[0-9a-f]{8})'
    + '-(?P<expiry>[0-9a-f]{8})-(?P<nonce>[0-9a-f]{16})'
    + '-(?P<check>[0-9a-f]{16})',
)


@dataclass(frozen=True)
class Incarnation:
    """One run of an agent's process."""

    # The upstream beside the agent.
    upstream: ShortId
    # Random number drawn when the process starts.
    number: int


@dataclass(frozen=True)
class IdempotencyKey:
    """An idempotency key issued by its owner."""

    # Incarnation of the agent that keeps the record of the request.
    owner: Incarnation
    # Unix time in seconds after which the owner may drop the record.
    expiry: int
    # Hexadecimal nonce that makes the key unique within the incarnation.
    nonce: str


class ForeignKeyError(RagwortpostError):
    """A key that is malformed or not issued under this cluster's secret."""

    def __init__(self, text: bytes) -> None:
        """Initialize with the key as received."""
        super().__init__(text)
        self.text = text

    def __str__(self) -> str:
        """Return a message with the first 80 bytes of the key."""
        return f'idempotency key not issued by this cluster: {self.text[:80]!r}'


class KeyCodec:
    """Encodes and decodes keys; a MAC keeps callers from forging one."""

    def __init__(
        self,
        secret: bytes,
        lease: timedelta,
        random_bytes: Callable[[int], bytes],
    ) -> None:
        """Initialize with the MAC secret, key lease and source of nonces."""
        self._secret = secret
        self._lease = lease
        self._random_bytes = random_bytes

    def issue(self, owner: Incarnation, now: datetime) -> IdempotencyKey:
        """Issue a new key for an owner."""
        expiry = int((now + self._lease).timestamp())
        return IdempotencyKey(
            owner,
            expiry,
            self._random_bytes(_NONCE_BYTES).hex(),
        )

    def encode(self, key: IdempotencyKey) -> bytes:
        """Return the key as a header value."""
        number = key.owner.number.to_bytes(_INCARNATION_BYTES).hex()
        owner = key.owner.upstream.hex()
        body = f'{owner}-{number}-{key.expiry:08x}-{key.nonce}'
        return f'{body}-{self._compute_mac(body)}'.encode()

    def decode(self, text: bytes) -> Result[IdempotencyKey, ForeignKeyError]:
        """Decode a header value, unless it is malformed or its MAC is wrong."""
        match = _KEY_PATTERN.fullmatch(text.decode('ascii', 'replace'))
        if match is None:
            return Err(ForeignKeyError(text))
        body, _, mac = match.group().rpartition('-')
        if not hmac.compare_digest(mac, self._compute_mac(body)):
            return Err(ForeignKeyError(text))
        owner = Incarnation(
            ShortId(bytes.fromhex(match['owner'])),
            int(match['incarnation'], 16),
        )
        expiry = int(match['expiry'], 16)
        return Ok(IdempotencyKey(owner, expiry, match['nonce']))

    def _compute_mac(self, body: str) -> str:
        return hashlib.blake2b(
            body.encode(),
            key=self._secret,
            digest_size=_MAC_BYTES,
            person=b'idempotency-key',
        ).hexdigest()
