"""A client closes while its request is in hand: what is known of it, and what goes on in its name."""

from __future__ import annotations

from tests.data_plane import Gate, sealed


def test_a_client_that_leaves_is_counted_with_what_becomes_of_its_attempt(gate: Gate) -> None:
    """No figure told whether the close was seen, or what followed from it."""
    client = gate.say("/b/x", method="POST", body=b"order")
    _, backend, _ = gate.at_backend()
    client.close()
    gate.until(lambda: gate.plant.tally.abandoned["at_backend"] == 1)
    backend.send(sealed())
    gate.until(lambda: gate.plant.tally.abandoned_attempts["served"] == 1)
    assert gate.plant.tally.fields()["abandoned_at_backend"] == 1
    assert not len(gate.plant.requests)


def test_a_client_that_leaves_before_its_request_was_counted_is_counted_apart(gate: Gate) -> None:
    gate.gauge.ask = lambda tenant, again, then, patience: None  # type: ignore[method-assign]
    client = gate.say()
    gate.until(lambda: len(gate.plant.requests))
    client.close()
    gate.until(lambda: gate.plant.tally.abandoned["waiting"] == 1)
    assert not len(gate.plant.requests) and gate.first.take() is None and gate.second.take() is None
