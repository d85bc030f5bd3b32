"""Wire and storage formats, byte by byte: during an upgrade, processes of two versions communicate."""

from __future__ import annotations

from typing import Any

import orjson
import pytest
from syrupy.assertion import SnapshotAssertion

from oakvale.controlplane.views import (
    BOOTSTRAP_INCARNATION,
    DurableState,
    View,
    bootstrap_view,
    unpack_durable_state,
    unpack_view,
)
from oakvale.dissemination import table
from oakvale.transport.frames import LENGTH_PREFIX, MAX_FRAME_BYTES, BadFrame, decode, encode

VIEW = bootstrap_view(["10.1.0.33:7340", "10.2.0.25:7340", "10.3.0.16:7340"], 2)
DURABLE = DurableState(
    VIEW, (3, VIEW.primary), ((2, VIEW.backups[0]), View(2, VIEW.backups[0], (), VIEW.witnesses)), 1, 0
)
ENTRIES: list[table.Entry] = [("config", (1, 4), {"gen": 7, "text": b"{}"}), ("backend/i-1", (1, 5), None)]


def test_frames(snapshot: SnapshotAssertion) -> None:
    frames = [
        encode("core", 0, [list(VIEW.primary), "zone-a", VIEW.pack(), ["10.1.0.33:7340"]]),
        encode("news", 0, [[1, (1 << 32) + 9], table.pack(ENTRIES), None]),
        encode("ballot", 12, ["gauge/1", "elect", [4, "life"], "10.1.0.30:7340"]),
        encode("", 12, ["elect", [4, "life"], True, 4, "", "", 0]),
    ]
    assert [frame.hex() for frame in frames] == snapshot


def test_views_and_what_a_seat_keeps(snapshot: SnapshotAssertion) -> None:
    assert [orjson.dumps(part.pack()).decode() for part in (VIEW, DURABLE)] == snapshot
    assert unpack_view(VIEW.pack()) == VIEW and unpack_durable_state(DURABLE.pack()) == DURABLE
    assert unpack_durable_state(DurableState().pack()) == DurableState() and VIEW.primary[1] == BOOTSTRAP_INCARNATION


def test_digests(snapshot: SnapshotAssertion) -> None:
    held_table = table.Table()
    held_table.put(ENTRIES)
    assert [digest.hex() for digest in held_table.digests()] == snapshot
    assert table.unpack(table.pack(ENTRIES)) == ENTRIES


def test_frames_are_decoded_from_any_fragments() -> None:
    data, buffer, found = encode("a", 1, {"x": b"y" * 300}) + encode("", 1, None), bytearray(), list[Any]()
    for byte in data:
        buffer.append(byte)
        found += decode(buffer)
    assert found == [("a", 1, {"x": b"y" * 300}), ("", 1, None)] and not buffer


@pytest.mark.parametrize(
    "data",
    [
        LENGTH_PREFIX.pack(MAX_FRAME_BYTES + 1),
        LENGTH_PREFIX.pack(1) + b"\xff",
        LENGTH_PREFIX.pack(1) + b"\x01",
        encode("a", 1, 2)[:4] + b"\x83" * 9,
        LENGTH_PREFIX.pack(4) + b"\x83\x01\x01\x01",
        LENGTH_PREFIX.pack(0),
    ],
)
def test_invalid_frames_are_rejected(data: bytes) -> None:
    with pytest.raises(BadFrame):
        decode(bytearray(data))
