"""Messages of rate limiting and elections: what goes over the wire is what earlier versions exchange."""

from __future__ import annotations

from oakvale.election.voting import VoteRequest, VoteResponse
from oakvale.ratelimit.messages import CountReply, CountRequest
from oakvale.ratelimit.quotas import Quota

STAMP = ["life", 77]


def test_count_request() -> None:
    request = CountRequest("t1", Quota(63.0, 10.0), "edge-1", True, STAMP)
    assert request.encode() == ["t1", 63.0, 10.0, "edge-1", True, STAMP]
    assert CountRequest.decode(request.encode()) == request


def test_count_reply_of_this_version_and_of_one_that_sends_no_time() -> None:
    reply = CountReply(True, 3.5, 0, STAMP, 41)
    assert reply.encode() == [True, 3.5, 0, STAMP, 41] and reply.counter_id == "life"
    assert CountReply.decode(reply.encode()) == reply
    assert CountReply.decode([False, 9.0, 20_000, STAMP]) == CountReply(False, 9.0, 20_000, STAMP, None)


def test_vote_request_and_response() -> None:
    request = VoteRequest("gauge/1", "elect", (4, "life"))
    assert request.encode("10.0.0.1:80") == ["gauge/1", "elect", [4, "life"], "10.0.0.1:80"]
    assert VoteRequest.decode(request.encode("10.0.0.1:80")) == (request, "10.0.0.1:80")
    response = VoteResponse("gauge/1", "elect", (4, "life"), False, 6, "other", "10.0.0.2:80", 900)
    assert response.encode() == ["elect", [4, "life"], False, 6, "other", "10.0.0.2:80", 900]
    assert VoteResponse.decode("gauge/1", response.encode()) == response
