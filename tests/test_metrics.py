"""The metrics in the text that a scrape receives.

Guards against wrong counts, and against targets that are no bound of a bucket.
"""

import pytest
from prometheus_client.parser import text_string_to_metric_families

from cranberrywick.metrics import Metrics, TokenGaps, prompt_length_group
from cranberrywick.model import RefusalReason


def samples(metrics):
    """Return the rendered values by the metric's name and labels."""
    values = {}
    for family in text_string_to_metric_families(metrics.render().decode()):
        for name, labels, value, *_ in family.samples:
            values[name.removeprefix("cranberrywick_"), *sorted(labels.items())] = value
    return values


def test_targets_are_bucket_bounds():
    metrics = Metrics("e1")
    metrics.first_token("grants", 1_800, 1.7)
    gaps = TokenGaps(target_seconds=0.061)
    for seconds in (0.061, 0.062, 9.0):
        gaps.add(seconds)
    metrics.gaps_counted("grants", gaps)
    values = samples(metrics)
    first_token = ("class", "grants"), ("le", "1.7"), ("prompt_length", "to_2k")
    assert values["first_token_seconds_bucket", *first_token] == 1
    assert values["token_gaps_total", ("class", "grants"), ("le", "0.061")] == 1
    assert values["token_gaps_total", ("class", "grants"), ("le", "0.08")] == 2
    assert values["token_gaps_total", ("class", "grants"), ("le", "+Inf")] == 3
    assert (gaps.total, gaps.late) == (3, 2)


def test_counts_by_label():
    metrics = Metrics("e1")
    metrics.request_ended("grants", "completed", 2.0)
    metrics.request_ended("grants", "overloaded", 0.01)
    metrics.refused("grants", RefusalReason.CANNOT_MEET_TARGET)
    metrics.platform_call("get", "ok", 0.004)
    metrics.queue_wait("grants", 0.2)
    metrics.output_tokens("grants", 40)
    metrics.organisation_over_share("drafting")
    values = samples(metrics)
    assert values["organisations_over_share_total", ("service", "drafting")] == 1
    labels = ("class", "grants"), ("outcome", "overloaded")
    assert values["requests_total", *labels] == 1
    labels = ("class", "grants"), ("reason", "cannot_meet_target")
    assert values["refusals_total", *labels] == 1
    labels = ("kind", "get"), ("outcome", "ok")
    assert values["platform_call_seconds_count", *labels] == 1
    assert values["queue_wait_seconds_count", ("class", "grants")] == 1
    assert values["output_tokens_total", ("class", "grants")] == 40


def test_observed_values_are_read_at_the_scrape():
    metrics = Metrics("e1")
    phases, sent = {"warm": 3, "cold": 1}, {"out": 5}
    metrics.observe_gauge("endpoints", "Endpoints.", "phase", lambda: phases)
    metrics.observe_counter("peer_bytes", "Bytes.", "direction", lambda: sent)
    phases.update(warm=4, cold=0)
    sent.update(out=9)
    values = samples(metrics)
    assert values["endpoints", ("phase", "warm")] == 4
    assert values["endpoints", ("phase", "cold")] == 0
    assert values["peer_bytes_total", ("direction", "out")] == 9


def test_daemons_of_one_process_count_apart():
    first, second = Metrics("e1"), Metrics("e2")
    first.output_tokens("grants", 5)
    assert ("output_tokens_total", ("class", "grants")) not in samples(second)
    first.close()
    second.output_tokens("grants", 7)
    assert samples(second)["output_tokens_total", ("class", "grants")] == 7


@pytest.mark.parametrize(
    "tokens, group",
    [(1, "to_2k"), (100_000, "to_100k"), (100_001, "to_1m"), (1_000_001, "over_1m")],
)
def test_prompt_length_group(tokens, group):
    assert prompt_length_group(tokens) == group
