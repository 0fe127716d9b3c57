import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, MatchesStructure

from laburnumyard.core.settings import load_settings

SOUND = """
[daemon]
name = 'vm-1'
data_centre = 'lima-a'
region = 'lima'
[listen]
callers = '127.0.0.1:7000'
peers = '127.0.0.1:7001'
admin = '127.0.0.1:7002'
[store]
address = '127.0.0.1:2379'
"""

TIMEOUT_PROBLEM = (
    "daemon.toml: [store]: timeout_s = '200ms': give a number of seconds"
)


def problems_of(text):
    return load_settings(text, 'daemon.toml').error


def only_problem_of(text):
    problems = problems_of(text)
    assert_that(problems, HasLength(1))
    return problems[0]


def test_sound_settings_have_defaults():
    settings = load_settings(SOUND, 'daemon.toml').ok
    assert_that(settings.timing.grant_life_s, Equals(1.4))
    assert_that(settings.admin.token_sha256, Equals(''))


def test_all_faults_are_reported_at_once():
    text = SOUND.replace("region = 'lima'", 'regoin = 3').replace(':7002', '')
    wrong_types = "timeout_s = '200ms'\n[limits]\nbody_bytes = 1.5"
    problems = problems_of(f'{text}{wrong_types}\n[timing]\nfoo = 1')
    fields = [problem.field for problem in problems]
    expected = ('region', 'regoin', 'admin', 'timeout_s', 'body_bytes', 'foo')
    assert_that(set(fields), Equals(set(expected)))


def test_a_problem_names_its_place_and_remedy():
    problem = only_problem_of(f"{SOUND}timeout_s = '200ms'")
    assert_that(
        str(problem),
        Equals(TIMEOUT_PROBLEM),
    )


def test_an_unknown_field_gets_the_likely_name():
    problem = only_problem_of(f'{SOUND}[timing]\ngrant_life_ms = 1400')
    assert_that(problem.remedy, Contains('did you mean grant_life_s'))


@pytest.mark.parametrize(
    'text, field',
    [
        ('[timing]\nrenew_interval_s = 0.5', 'renew_interval_s'),
        ('[timing]\nsuspect_after_s = 0.3', 'suspect_after_s'),
        ('[timing]\nsuspect_after_s = 1.4', 'suspect_after_s'),
        ('[timing]\noutage_hold_s = 1', 'outage_hold_s'),
        ('[timing]\noutage_hold_s = inf', 'outage_hold_s'),
        ('[timing]\nclock_drift = nan', 'clock_drift'),
        ('[timing]\nleave_notice_s = -1', 'leave_notice_s'),
        ('[timing]\nleave_notice_s = 61', 'leave_notice_s'),
        ('[timing]\ndrain_timeout_s = 29', 'drain_timeout_s'),
        ('[timing]\nremoval_means_stopped = 1', 'removal_means_stopped'),
        ('[limits]\ndeadline_default_s = 31', 'deadline_default_s'),
        ('[limits]\nticket_life_s = 29', 'ticket_life_s'),
        ('[limits]\nticket_answer_bytes = 2048', 'ticket_answer_bytes'),
        ("[log]\nlevel = 'LOUD'", 'level'),
        ('[log]\nlevel = 1979-05-27', 'level'),
        ("[admin]\ntoken_sha256 = 'secret'", 'token_sha256'),
    ],
)
def test_contradictions_and_bad_values(text, field):
    expected = MatchesStructure.byEquality(file='daemon.toml', field=field)
    assert_that(only_problem_of(f'{SOUND}\n{text}'), expected)


@pytest.mark.parametrize(
    'old, new, field',
    [
        ('127.0.0.1:7002', '127.0.0.1:7001', 'admin'),
        ('127.0.0.1:7002', '0.0.0.0:7001', 'admin'),
        ('127.0.0.1:7002', '127.0.0.1:0', 'admin'),
        ('127.0.0.1:7001', '300.0.0.1:7001', 'peers'),
        ('127.0.0.1:2379', '127.0.0.1:99999', 'address'),
    ],
)
def test_impossible_addresses(old, new, field):
    problem = only_problem_of(SOUND.replace(old, new))
    assert_that(problem.field, Equals(field))


@pytest.mark.parametrize('text', ['[daemon', '[' * 5000, '\x00'])
def test_text_that_is_no_toml(text):
    problem = only_problem_of(text)
    assert_that(problem.remedy, Contains('fix the TOML'))


@pytest.mark.parametrize('text', ['', 'daemon = 1', '[[daemon]]', '[x.y]'])
def test_a_wrong_shape_is_refused(text):
    assert_that(len(problems_of(text)) > 0, Equals(True))
