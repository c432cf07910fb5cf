"""Answers the platform's question whether a process is ready."""

from http import HTTPStatus
from typing import Final

from ragwortpost.datapath.process import HttpReply

_PATH: Final = '/-/readyz'


def answer_readiness(target: str, *, ready: bool) -> HttpReply:
    """Return the answer to a request of the platform's routers."""
    if target != _PATH:
        return HttpReply(HTTPStatus.NOT_FOUND)
    if ready:
        return HttpReply(HTTPStatus.OK)
    return HttpReply(HTTPStatus.SERVICE_UNAVAILABLE)
