"""What requests have in common, by which crashes are related to them."""

from cranberrywick.routing.request_traits import (
    RequestTraits,
    is_narrow,
    request_head,
)

SEGMENTS = ("first", "bad", "own")


def traits(segment_ids=(), method=b"POST", host="h", target=b"/calls/1", body=b"x"):
    return RequestTraits(segment_ids, method, host, target, body)


def test_repeats_of_a_request_have_the_same_content():
    """Guards against repeats that aren't recognised, and others taken for them."""
    content = traits(SEGMENTS).content
    assert traits(SEGMENTS).content == content
    others = [
        traits(SEGMENTS[:2]),
        traits(SEGMENTS, method=b"PUT"),
        traits(SEGMENTS, host="other"),
        traits(SEGMENTS, target=b"/calls/1?at=2"),
        traits(SEGMENTS, body=b"y"),
    ]
    assert len({content, *(each.content for each in others)}) == 1 + len(others)


def test_a_request_that_resembles_a_suspected_one_is_told_apart_by_its_body():
    """Guards against sound calls refused for another's body."""
    suspected, other = traits(), traits(body=b"y")
    heads = {request_head(suspected.content)}
    assert traits().among({suspected.content}, heads) == [suspected.content]
    assert other.among({suspected.content}, heads) == []
    assert set(suspected.all) & set(other.all) == {suspected.all[0]}


def test_the_body_is_read_only_where_the_rest_is_suspected():
    """Guards against a digest of each large body while anything is suspected."""
    request = traits()
    assert request.among({"content/1-2"}, {"1"}) == []
    assert "content" not in vars(request)
    assert traits(SEGMENTS).among({"bad"}, set()) == ["bad"]


def test_own_traits_are_those_of_one_request_or_session():
    """Guards against a shared segment that is treated as one request's own."""
    assert [is_narrow(each) for each in traits(SEGMENTS).all] == [
        *(False, False),
        *(True, True),
    ]
    assert [is_narrow(each) for each in traits().all] == [False, True]
    assert [is_narrow(each) for each in traits(("own",)).all] == [True, True]
