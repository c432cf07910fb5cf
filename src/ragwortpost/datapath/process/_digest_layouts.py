"""MessagePack layouts of digests.

The fields are listed here, in the order of the wire format, so that a change of
:class:`Digest` does not change a layout.
"""

from functools import lru_cache
from operator import attrgetter
from typing import Any, Final

from msgspec import Raw, Struct
from msgspec.msgpack import Decoder, encode
from msgspec.structs import astuple

from ragwortpost.datapath.process._layouts import FIXED_DIGESTS, LayoutRange
from ragwortpost.datapath.process._messages import Digest
from ragwortpost.datapath.version import (
    Host,
    Natural,
    RouteKeyField,
    StateVersion,
)

# Lists of entries in digests that are kept decoded. A peer repeats its list
# until an entry starts or ends, and checking the addresses takes most of the
# time of decoding.
_MAX_ENTRY_LISTS: Final = 256
_FIXED_NAMES: Final = (
    'wants_reply',
    'role',
    'data_centre',
    'service',
    'version',
    'view_age_ms',
    'reading',
    'leaving',
    'load',
    'entries',
    'pace_ms',
    'fingerprint',
)
_ENTRIES_INDEX: Final = _FIXED_NAMES.index('entries')
_LAYOUTS_INDEX: Final = len(_FIXED_NAMES)
# Return the fields of a digest in the order of each layout.
_FIXED_FIELDS: Final = attrgetter(*_FIXED_NAMES)
_EXTENSIBLE_FIELDS: Final = attrgetter(
    *_FIXED_NAMES, 'layouts', 'served_routes'
)
_ENTRIES_DECODER: Final = Decoder(tuple[Host, ...])
# The entries are decoded separately.
_FIXED_DECODER: Final[Decoder[Any]] = Decoder(
    tuple[
        bool,
        str,
        str,
        str,
        StateVersion,
        Natural,
        bool,
        bool,
        Natural,
        Raw,
        Natural,
        Natural,
    ]
)


class _ExtensibleDigest(Struct, array_like=True):
    """A digest with any number of trailing fields that later builds add."""

    wants_reply: bool
    role: str
    data_centre: str
    service: str
    version: StateVersion
    view_age_ms: Natural
    reading: bool
    leaving: bool
    load: Natural
    entries: Raw
    pace_ms: Natural
    fingerprint: Natural
    layouts: Raw
    served_routes: tuple[RouteKeyField, ...]


class _Layouts(Struct, array_like=True):
    """A range of layouts, with any trailing fields."""

    oldest: Natural
    newest: Natural


_EXTENSIBLE_DECODER: Final = Decoder(_ExtensibleDigest)
_LAYOUTS_DECODER: Final = Decoder(_Layouts)


def encode_digest(digest: Digest, layout: int) -> bytes:
    """Encode the fields of a digest in a layout."""
    if layout == FIXED_DIGESTS:
        return encode(_FIXED_FIELDS(digest))
    return encode(_EXTENSIBLE_FIELDS(digest))


def decode_digest(encoded: bytes) -> Digest:
    """Decode a digest of a fixed number of fields.

    Raises :class:`msgspec.MsgspecError` for invalid fields.
    """
    decoded = list(_FIXED_DECODER.decode(encoded))
    decoded[_ENTRIES_INDEX] = _decode_entries(bytes(decoded[_ENTRIES_INDEX]))
    return Digest(*decoded)


def decode_extensible_digest(encoded: bytes) -> Digest:
    """Decode a digest that may have more fields than are known.

    Raises :class:`msgspec.MsgspecError` for invalid fields.
    """
    decoded = list(astuple(_EXTENSIBLE_DECODER.decode(encoded)))
    decoded[_ENTRIES_INDEX] = _decode_entries(bytes(decoded[_ENTRIES_INDEX]))
    layouts = _LAYOUTS_DECODER.decode(decoded[_LAYOUTS_INDEX])
    decoded[_LAYOUTS_INDEX] = LayoutRange(layouts.oldest, layouts.newest)
    return Digest(*decoded)


@lru_cache(maxsize=_MAX_ENTRY_LISTS)
def _decode_entries(encoded: bytes) -> tuple[str, ...]:
    return _ENTRIES_DECODER.decode(encoded)
