"""The whole path of a request on loopback: caller, daemon, endpoint and back.

Guards against a demonstration whose long or short completion or booking fails.
"""

from cranberrywick.demo import run_demo


def test_the_demonstration_serves_short_long_and_booking():
    lines = []

    run_demo(lines.append)

    output = "\n".join(lines)
    assert "short prompt: 4 prompt tokens" in output
    assert "long prompt: 400000 prompt tokens" in output
    assert '"booking": 1' in output
