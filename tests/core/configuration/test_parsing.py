import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, MatchesStructure

from laburnumyard.core.configuration import parse_objects

TOKEN = 'a' * 64
OTHER_SERVICE = """
[[service]]
name = 'other'
region = 'lima'
common_class = 'common'
"""
OTHER_RANGE = """
[[key_range]]
name = 'other'
service = 'other'
targets = ['catalogue-1']
"""
FAULTS = (
    ("common_class = 'common'", "common_class = 'x'", 'common_class'),
    ("region = 'lima'", "region = 'Lima'", 'region'),
    ("region = 'lima'", 'region = 1', 'region'),
    ("region = 'lima'", "regoin = 'lima'", 'regoin'),
    ("name = 'catalogue'", "name = 'control'", 'name'),
    ("name = 'high'", "name = 'low'", 'name'),
    ("name = 'catalogue-2'", "name = 'catalogue-1'", 'name'),
    ("targets = ['catalogue-2']", "targets = ['nobody']", 'targets'),
    ("targets = ['catalogue-2']", 'targets = []', 'targets'),
    ("['catalogue-2']", "['catalogue-2', 'catalogue-2']", 'targets'),
    ("['catalogue-1', 'catalogue-2']", "['catalogue-2']", 'name'),
    ('start = 0.3', 'start = 0.2', 'start'),
    ('start = 0.3', 'start = 0.4', 'start'),
    ('start = 0.3', 'start = 0.3\nstop = 0.9', 'stop'),
    ('start = 0.3', 'start = 0.3\nstop = 0.3', 'stop'),
    ('stop = 0.3', 'start = 0.1\nstop = 0.3', 'start'),
    ('127.0.0.1:8002', '127.0.0.1:8001', 'address'),
    ('127.0.0.1:8002', '127.0.0.1:0', 'address'),
    ('127.0.0.1:8002', 'localhost:80', 'address'),
    ("address = '127.0.0.1:8002'", "address = '1.1.1.1:1'\nslots = 0", 'slots'),
    ('share = 0.25', 'share = 1.25', 'shares.0.share'),
    ('share = 0.25', 'shares = 0.25', 'shares.0.shares'),
    ("service = 'catalogue', p", "service = 'x', p", 'shares'),
    ("priority_class = 'urgent'", "priority_class = 'x'", 'shares'),
    ('rank = 10', 'rank = 0', 'rank'),
    ('rank = 20', 'rank = 5', 'rank'),
    ('rank = 20', 'rank = nan', 'rank'),
    (f"'{TOKEN}'", "'secret'", 'token_sha256'),
)


def problems_of(text):
    return parse_objects({'lima.toml': text}).error


def test_sound_objects_have_no_problems(objects):
    assert_that(parse_objects({'lima.toml': objects}).is_ok(), Equals(True))


@pytest.mark.parametrize('old, new, field', FAULTS)
def test_each_fault_is_reported(objects, old, new, field):
    assert_that(objects, Contains(old))
    problems = problems_of(objects.replace(old, new, 1))
    found = [(problem.file, problem.field) for problem in problems]
    assert_that(found, Contains(('lima.toml', field)))


def test_a_problem_names_file_object_value_and_remedy(objects):
    text = objects.replace("common_class = 'common'", "common_class = 'x'")
    expected = MatchesStructure.byEquality(
        file='lima.toml',
        object='service catalogue',
        field='common_class',
        value="'x'",
        remedy='name a priority_class that exists, or add [[priority_class]] x',
    )
    assert_that(problems_of(text)[0], expected)


def test_all_files_are_reported_at_once(objects):
    bad_name = objects.replace("name = 'clinic'", "name = 'A Clinic'")
    files = {'a.toml': '[broken', 'b.toml': bad_name, 'c.toml': 'x = 1'}
    problems = parse_objects(files).error
    found = {problem.file for problem in problems}
    assert_that(found, Equals(set(files)))


def test_objects_refer_across_files(objects):
    cut = objects.index('[[target]]')
    files = {'a.toml': objects[cut:], 'b.toml': objects[:cut]}
    assert_that(parse_objects(files).is_ok(), Equals(True))


def test_a_name_taken_in_another_file_names_that_file(objects):
    files = {'a.toml': objects, 'b.toml': objects}
    first = parse_objects(files).error[0]
    assert_that(first.file, Equals('b.toml'))
    assert_that(first.remedy, Contains('a.toml'))


def test_shares_over_the_whole_are_refused(objects):
    customer = objects[objects.index('[[customer]]') :]
    other = customer.replace('clinic', 'maker').replace(TOKEN, 'b' * 64)
    text = objects + other.replace('0.25', '0.76')
    assert_that(problems_of(text)[0].remedy, Contains('101.0 %'))
    exact = objects + other.replace('0.25', '0.75')
    assert_that(parse_objects({'a': exact}).is_ok(), Equals(True))


def test_two_customers_can_not_have_one_token(objects):
    customer = objects[objects.index('[[customer]]') :]
    text = objects + customer.replace('clinic', 'maker')
    assert_that(problems_of(text)[0].remedy, Contains('customer clinic'))


def test_a_second_share_of_one_service_is_refused(objects):
    share = objects[objects.index('    {') : objects.rindex(']')]
    text = objects.replace(share, share + share)
    assert_that(problems_of(text)[0].remedy, Contains('one share'))


def test_a_paid_class_is_not_served_after_the_common_one(objects):
    text = objects.replace("_class = 'common'", "_class = 'urgent'")
    text = text.replace(
        "priority_class = 'urgent'", "priority_class = 'common'"
    )
    assert_that(problems_of(text)[0].field, Equals('shares'))


def test_classes_keep_the_whole_at_most(objects):
    text = objects.replace('rank = 10', 'rank = 10\nleast_share = 0.4')
    text = text.replace('rank = 20', 'rank = 20\nleast_share = 0.2')
    assert_that(problems_of(text)[0].field, Equals('least_share'))


def test_a_range_needs_a_target_that_stays(objects):
    text = objects.replace(':8002', ":8002'\ndraining = true #")
    assert_that(problems_of(text)[0].object, Equals('key_range high'))


def test_a_service_needs_targets_and_ranges(objects):
    problems = problems_of(f'{objects}\n{OTHER_SERVICE}')
    assert_that(problems[0].remedy, Contains('add a [[target]]'))
    assert_that(problems[1].remedy, Contains('add a [[key_range]]'))


def test_a_foreign_target_is_refused(objects):
    problems = problems_of(f'{objects}\n{OTHER_SERVICE}\n{OTHER_RANGE}')
    remedies = [problem.remedy for problem in problems]
    assert_that(''.join(remedies), Contains('belongs to catalogue'))


def test_nothing_at_all_is_refused():
    assert_that(parse_objects({}).error[0].remedy, Contains('[[service]]'))
