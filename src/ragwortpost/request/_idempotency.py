"""Keys that name the one agent that may run a request, and its records.

A key is issued by the agent that owns it. Whoever receives a repeat passes it
to that owner, which answers from its record. When the owner is gone nobody
can tell whether the request was run, and nobody runs it again.
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

_CHECK_BYTES: Final = 8
_NONCE_BYTES: Final = 8
_INCARNATION_BYTES: Final = 4
_KEY_PATTERN: Final = re.compile(
    '(?P<owner>[0-9a-f]{12})-(?P<incarnation>[0-9a-f]{8})'
    + '-(?P<expiry>[0-9a-f]{8})-(?P<nonce>[0-9a-f]{16})'
    + '-(?P<check>[0-9a-f]{16})',
)


@dataclass(frozen=True)
class Incarnation:
    """One life of one agent's process."""

    # The upstream that the agent stands beside.
    upstream: ShortId
    # Drawn at random when the process started.
    number: int


@dataclass(frozen=True)
class IdempotencyKey:
    """A key, as issued by its owner."""

    # The agent that may run the request.
    owner: Incarnation
    # When the owner may forget what became of it, Unix time in seconds.
    expiry: int
    # Makes the key unique within its owner's life, in hexadecimal.
    nonce: str


class ForeignKeyError(RagwortpostError):
    """A key that no agent under this cluster key issued."""

    def __init__(self, text: bytes) -> None:
        """Record the key as it was received."""
        super().__init__(text)
        self.text = text

    def __str__(self) -> str:
        """Return the beginning of the key."""
        return f'idempotency key was not issued here: {self.text[:80]!r}'


class KeyCodec:
    """Writes and reads keys; a keyed check keeps callers from forging one."""

    def __init__(
        self,
        secret: bytes,
        lease: timedelta,
        random_bytes: Callable[[int], bytes],
    ) -> None:
        """Use ``secret`` for the check and ``lease`` for the expiry."""
        self._secret = secret
        self._lease = lease
        self._random_bytes = random_bytes

    def issue(self, owner: Incarnation, now: datetime) -> IdempotencyKey:
        """Return a new key of an owner."""
        expiry = int((now + self._lease).timestamp())
        return IdempotencyKey(
            owner,
            expiry,
            self._random_bytes(_NONCE_BYTES).hex(),
        )

    def encode(self, key: IdempotencyKey) -> bytes:
        """Return the key as it stands in a header."""
        number = key.owner.number.to_bytes(_INCARNATION_BYTES).hex()
        owner = key.owner.upstream.hex()
        body = f'{owner}-{number}-{key.expiry:08x}-{key.nonce}'
        return f'{body}-{self._compute_check(body)}'.encode()

    def decode(self, text: bytes) -> Result[IdempotencyKey, ForeignKeyError]:
        """Read a key from a header, or say that it is not ours."""
        match = _KEY_PATTERN.fullmatch(text.decode('ascii', 'replace'))
        if match is None:
            return Err(ForeignKeyError(text))
        body, _, check = match.group().rpartition('-')
        if not hmac.compare_digest(check, self._compute_check(body)):
            return Err(ForeignKeyError(text))
        owner = Incarnation(
            ShortId(bytes.fromhex(match['owner'])),
            int(match['incarnation'], 16),
        )
        expiry = int(match['expiry'], 16)
        return Ok(IdempotencyKey(owner, expiry, match['nonce']))

    def _compute_check(self, body: str) -> str:
        return hashlib.blake2b(
            body.encode(),
            key=self._secret,
            digest_size=_CHECK_BYTES,
            person=b'idempotency-key',
        ).hexdigest()
