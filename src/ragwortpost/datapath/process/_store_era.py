"""Decides which era of the store a response belongs to."""

from enum import Enum
from typing import Final

# The largest signed number of 64 bits, which fits all messages.
_MAX_ERA: Final = 0x7FFFFFFFFFFFFFFF


class EraVerdict(Enum):
    """How the era of a response relates to the known one."""

    # The known era.
    CURRENT = 'current'
    # The store was restored.
    NEW = 'new'
    # The response is of an earlier era and must not be applied.
    OLDER = 'older'
    # The response gives no usable era; it counts as of the known one.
    UNUSABLE = 'unusable'


def parse_era(text: str) -> int | None:
    """Return the era that a response gives, none if it is unusable."""
    if not (text.isascii() and text.isdecimal()):
        return None
    era = int(text)
    return era if era <= _MAX_ERA else None


def judge_era(text: str, known: int) -> tuple[EraVerdict, int]:
    """Return the verdict on a response's era, and the era that it counts as."""
    if not text and not known:
        # A store that never gives an era is in era zero.
        return EraVerdict.CURRENT, known
    era = parse_era(text)
    if era is None:
        return EraVerdict.UNUSABLE, known
    if era < known:
        return EraVerdict.OLDER, era
    return (EraVerdict.NEW if era > known else EraVerdict.CURRENT), era
