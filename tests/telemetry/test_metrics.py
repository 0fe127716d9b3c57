from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from laburnumyard.telemetry import Metrics
from laburnumyard.telemetry._metrics import MAX_SERIES


def test_counters_and_latencies_are_lines_of_text():
    metrics = Metrics()
    metrics.count('requests_total', status=200, reason='target')
    metrics.count('requests_total', status=200, reason='target')
    metrics.observe('catalogue', 0.1)
    lines = metrics.render().splitlines()
    counted = 'laburnumyard_requests_total{status="200",reason="target"} 2'
    assert_that(lines, Contains(counted))
    median = (
        'laburnumyard_request_duration_seconds'
        '{service="catalogue",quantile="0.5"} 0.1'
    )
    assert_that(lines, Contains(median))


def test_names_from_outside_stay_within_their_line():
    metrics = Metrics()
    metrics.count('sends_total', service='a"\n} 9')
    line = r'laburnumyard_sends_total{service="a\"?} 9"} 1'
    assert_that(metrics.render().splitlines(), Equals([line]))


def test_series_are_bounded():
    metrics = Metrics()
    for number in range(MAX_SERIES + 50):
        metrics.count('sends_total', service=number)
    assert_that(len(metrics.counters), Equals(MAX_SERIES + 1))
