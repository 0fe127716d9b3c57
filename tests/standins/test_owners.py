from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from standins._findings import Findings
from standins.observer import Started, Verdict, judge
from standins.owners import (
    Holding,
    KeyRun,
    find_concurrent_runs,
    find_falling_terms,
    find_two_owners,
    read_holdings,
)
from tests.standins.outcomes import outcome

FIRST = Holding('catalogue', 'catalogue-1', 0, 99, 1000, 2400, term=1)
NEXT = replace(FIRST, target='catalogue-2', from_ms=2400, until_ms=3800)
INTACT = Verdict(
    sent=1,
    whole=1,
    foreign=0,
    not_run=0,
    unknown=0,
    most_runs=1,
    false_not_run=0,
    unavailable_s=0,
)


def export(*grants):
    return {
        'name': 'catalogue-1',
        'service': 'catalogue',
        'grants': [
            {
                'from_ms': start,
                'until_ms': stop,
                'ranges': [['0', '99']],
                'term': term,
            }
            for start, stop, term in grants
        ],
    }


@pytest.mark.parametrize(
    'second',
    [
        NEXT,
        replace(NEXT, from_ms=1500, start=100, last=200),
        replace(NEXT, from_ms=1500, service='orders'),
        replace(NEXT, from_ms=1500, target='catalogue-1'),
        replace(NEXT, from_ms=1500, until_ms=1500),
    ],
)
def test_one_owner_at_a_time_is_no_finding(second):
    assert_that(find_two_owners([second, FIRST]), Equals(()))


@pytest.mark.parametrize(
    'second',
    [
        replace(NEXT, from_ms=2399),
        replace(NEXT, from_ms=900),
        replace(NEXT, from_ms=1500, start=99, last=200),
        replace(NEXT, from_ms=1500, until_ms=1600, start=50, last=50),
    ],
)
def test_two_owners_of_one_key_are_found(second):
    between = replace(FIRST, from_ms=1200, until_ms=1300)
    pairs = find_two_owners([second, between, FIRST])
    found = [{pair.first, pair.second} for pair in pairs]
    assert_that(found, Contains({FIRST, second}))


def test_overlap_is_measured():
    pairs = find_two_owners([FIRST, replace(NEXT, from_ms=2300)])
    assert_that([pair.overlap_ms for pair in pairs], Equals([100]))


def test_dead_target_owns_nothing_after_its_end():
    held = next(read_holdings(export((1000, 2400, 1)), ended_ms=1500))
    later = replace(NEXT, from_ms=1500)
    assert_that(find_two_owners([held, later]), Equals(()))
    early = replace(NEXT, from_ms=1499)
    assert_that(find_two_owners([held, early]), HasLength(1))


def test_older_term_after_a_newer_one_is_found():
    rising = export((0, 10, 1), (10, 20, 2), (20, 30, 2))
    assert_that(find_falling_terms(rising), Equals(()))
    falling = export((0, 10, 1), (10, 20, 2), (20, 30, 1))
    assert_that(find_falling_terms(falling), Equals((1,)))


@pytest.mark.parametrize(
    ('flaw', 'told'),
    [
        ({'foreign': 1}, 'not whole or foreign'),
        ({'most_runs': 2}, 'a ticket ran 2 times'),
        ({'false_not_run': 1}, 'ran despite not-run'),
    ],
)
def test_each_broken_verdict_is_a_problem(flaw, told):
    verdicts = {'orders/0': replace(INTACT, **flaw)}
    problems = list(Findings(verdicts, (), ()).problems())
    assert_that(problems, HasLength(1))
    assert_that(problems[0], Contains(told))


def test_intact_findings_have_no_problem():
    findings = Findings({'orders/0': INTACT}, (), ())
    assert_that(list(findings.problems()), Equals([]))


def test_second_run_of_a_ticket_is_seen():
    runs = [Started('ticket-1', 'a'), Started('ticket-1', 'a')]
    verdict = judge([outcome(ticket='ticket-1')], runs, foreign=0)
    assert_that(verdict.most_runs, Equals(2))


@pytest.mark.parametrize('ticket', ['', 'ticket-1'])
def test_run_that_was_told_not_run_is_seen(ticket):
    told = [outcome(ticket=ticket, ran='not-run')]
    verdict = judge(told, [Started(ticket, 'a')], foreign=0)
    assert_that(verdict.false_not_run, Equals(1))
    assert_that(judge(told, [], foreign=0).false_not_run, Equals(0))


@pytest.mark.parametrize(
    ('second', 'found'),
    [
        (KeyRun('forge-2', '7', 150, 250), 1),
        (KeyRun('forge-2', '7', 200, 250), 0),
        (KeyRun('forge-2', '8', 150, 250), 0),
        (KeyRun('forge-1', '7', 150, 250), 0),
    ],
)
def test_runs_of_one_key_at_two_targets_at_once_are_found(second, found):
    first = KeyRun('forge-1', '7', 100, 200)
    pairs = find_concurrent_runs([second, first])
    assert_that(pairs, HasLength(found))
    problems = list(Findings({}, (), (), pairs).problems())
    assert_that(problems, HasLength(found))
