"""Tests of the estimate of how long an upstream takes for each request.

Guards against an upstream that looks fast because it has become slow, and
against one that is avoided for ever after it was slow.
"""

import pytest

from ragwortpost.datapath.connection import ServicePace


def finish_requests(pace: ServicePace, count: int, seconds: float) -> float:
    """Run requests one after another; return the time after the last one."""
    now = 10.0
    for _ in range(count):
        pace.on_request(now, continues=False)
        pace.on_response(now, now + seconds)
        now += seconds
    return now


class TestServicePace:
    """The estimate follows the time between responses."""

    def test_unknown_at_first(self) -> None:
        assert ServicePace().seconds(10) == 0

    def test_requests_one_after_another(self) -> None:
        pace = ServicePace()
        now = finish_requests(pace, 20, 0.02)
        assert pace.seconds(now) == pytest.approx(0.02, rel=0.01)

    def test_queued_requests_count_from_the_response_before(self) -> None:
        pace = ServicePace()
        for _ in range(3):
            pace.on_request(10, continues=False)
        for response in (10.02, 10.04, 10.06):
            pace.on_response(10, response)
        assert pace.seconds(10.06) == pytest.approx(0.02, rel=0.01)

    def test_an_upload_counts_from_its_last_packet(self) -> None:
        pace = ServicePace()
        pace.on_request(10, continues=False)
        pace.on_request(10.5, continues=True)
        assert pace.seconds(10.51) == pytest.approx(0.01)
        pace.on_response(10.5, 10.52)
        assert pace.seconds(10.52) == pytest.approx(0.02)

    def test_a_request_that_hangs_raises_it_at_once(self) -> None:
        pace = ServicePace()
        now = finish_requests(pace, 20, 0.02)
        pace.on_request(now, continues=False)
        assert pace.seconds(now + 0.5) == pytest.approx(0.5)

    def test_a_lost_request_does_not_keep_new_ones_away(self) -> None:
        pace = ServicePace()
        now = finish_requests(pace, 20, 0.02)
        pace.on_request(now, continues=False)
        assert pace.seconds(now + 1.9) > 1
        assert pace.seconds(now + 2.1) <= 0.02

    def test_an_idle_upstream_is_tried_again(self) -> None:
        pace = ServicePace()
        now = finish_requests(pace, 20, 0.2)
        assert pace.seconds(now + 4) < 0.02

    def test_an_abandoned_request_is_no_sample(self) -> None:
        pace = ServicePace()
        now = finish_requests(pace, 20, 0.02)
        pace.on_request(now, continues=False)
        pace.on_abandoned(now + 3)
        assert pace.seconds(now + 3) <= 0.02
