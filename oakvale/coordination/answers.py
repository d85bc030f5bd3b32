"""The HTTP answers to coordination calls."""

from __future__ import annotations

from typing import Any

import orjson

from oakvale.memory.requests import Answer

JSON = (b"content-type", b"application/json")
RETRY_AFTER = (b"retry-after", b"0.3")  # seconds; for answers that promise that nothing was done


def json_answer(status: int, fields: dict[str, Any], *headers: tuple[bytes, bytes]) -> Answer:
    """An answer with a JSON body."""
    return Answer(status, [JSON, *headers], orjson.dumps(fields))


NOT_SERVING = json_answer(503, {"error": "this replica does not serve"}, RETRY_AFTER)
UNKNOWN_OUTCOME = json_answer(500, {"error": "the outcome is unknown"})
