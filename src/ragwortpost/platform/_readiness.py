"""Responds to the platform's readiness checks."""

from http import HTTPStatus
from typing import Final

from ragwortpost.datapath.process import HttpReply

_PATH: Final = '/-/readyz'


def answer_readiness(target: str, *, ready: bool) -> HttpReply:
    """Return the reply to a readiness check of the platform's routers."""
    if target != _PATH:
        return HttpReply(HTTPStatus.NOT_FOUND)
    if ready:
        return HttpReply(HTTPStatus.OK)
    return HttpReply(HTTPStatus.SERVICE_UNAVAILABLE)
