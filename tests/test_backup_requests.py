"""Requests of a primary to its backups: the form in messages, which both versions of a mixed system read."""

from __future__ import annotations

from typing import Any

import pytest

from oakvale.controlplane import backup_requests as requests
from oakvale.controlplane.views import View

VIEW = View(3, ("a:1", "i"), (("b:1", "j"),), (("a:1", "i"), ("b:1", "j"), ("c:1", "k")))
HEADER = requests.RequestHeader(VIEW, ("a:1", "i"), 2, 7)
PACKED_HEADER = [VIEW.pack(), ["a:1", "i"], [2, 7]]
ENTRIES: list[Any] = [("k", (3, 1), {"x": 1})]


@pytest.mark.parametrize(
    "request_, decode, fields",
    [
        (
            requests.AppendRequest((3, 0), ENTRIES, [["l", 3, 2, b"d"]]),
            requests.decode_append,
            [[3, 0], [["k", 3, 1, {"x": 1}]], [["l", 3, 2, b"d"]]],
        ),
        (requests.SyncRequest([0, [], [b"d"]], [b"chunk"]), requests.decode_sync, [[0, [], [b"d"]], [b"chunk"]]),
        (requests.OfferRequest([1, [], []]), requests.decode_offer, [[1, [], []]]),
        (requests.ChunkRequest(b"z"), requests.decode_chunk, [b"z"]),
    ],
)
def test_requests_keep_their_form(request_: requests.BackupRequest, decode: Any, fields: list[Any]) -> None:
    """Guards against a change of the messages, which machines of the version before must read."""
    body = [*HEADER.encode(), *request_.encode()]
    assert body[:3] == PACKED_HEADER
    assert [list(x) if isinstance(x, tuple) else x for x in body[3:]] == fields
    assert requests.decode_header(body) == HEADER and decode(body) == request_
    with pytest.raises((ValueError, TypeError)):
        decode(body[:-1])


def test_order_rises_over_restarts_and_views() -> None:
    later = (
        requests.RequestHeader(VIEW, ("a:1", "i"), 2, 8),
        requests.RequestHeader(VIEW, ("a:1", "i"), 3, 1),
        requests.RequestHeader(View(4, *(("a:1", "i"), (), ())), ("a:1", "i"), 1, 1),
    )
    assert [HEADER.order, *(x.order for x in later)] == sorted([HEADER.order, *(x.order for x in later)])
