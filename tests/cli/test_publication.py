from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from laburnumyard.cli import ExitCode
from laburnumyard.core.configuration import HEAD_KEY
from tests.support.fake_store import StoreFault


def publish(run, path, base, *more):
    return run('publish', str(path), f'--base={base}', '--note=spring', *more)


def test_publish_diff_and_history(run, objects_file):
    first = publish(run, objects_file, 0)
    assert_that(first.code, Equals(ExitCode.OK))
    assert_that(
        first.stdout, Contains('published version 1 as change change-1')
    )
    objects_file.write_text(objects_file.read_text().replace('0.25', '0.5'))
    diff = run('diff', str(objects_file))
    assert_that(diff.stdout, Contains('changes to version 1: 1'))
    assert_that(diff.stdout, Contains('urgent/0.25 -> catalogue/urgent/0.5'))
    publish(run, objects_file, 1, '--author=rosa')
    listed = run('history', '--json').json['publications']
    authors = [entry['author'] for entry in listed]
    assert_that(authors, Equals(['rosa', 'ana']))


def test_problems_are_never_published(run, store, objects_file):
    text = objects_file.read_text()
    objects_file.write_text(text.replace('start = 0.3', 'start = 0.4'))
    outcome = publish(run, objects_file, 0)
    assert_that(outcome.code, Equals(ExitCode.REFUSED))
    assert_that(outcome.stderr, Contains('a hole follows low'))
    assert_that(store.log, HasLength(0))


def test_a_conflict_shows_both_changes(run, objects_file):
    publish(run, objects_file, 0)
    text = objects_file.read_text()
    objects_file.write_text(text.replace('0.25', '0.5'))
    publish(run, objects_file, 1, '--author=rosa')
    objects_file.write_text(text.replace('rank = 10', 'rank = 11'))
    outcome = publish(run, objects_file, 1)
    assert_that(outcome.code, Equals(ExitCode.CONFLICT))
    assert_that(outcome.stderr, Contains('rank 10 -> 11'))
    assert_that(outcome.stderr, Contains('changed customer clinic'))
    content = publish(run, objects_file, 1, '--json').json
    assert_that(content['current']['author'], Equals('rosa'))


def test_a_forgotten_base_overwrites_nothing(run, objects_file):
    publish(run, objects_file, 0)
    objects_file.write_text(objects_file.read_text().replace('0.25', '0.5'))
    outcome = run('publish', str(objects_file))
    assert_that(outcome.code, Equals(ExitCode.CONFLICT))
    assert_that(outcome.stderr, Contains('--base=1'))
    assert_that(outcome.stderr, Contains('changed customer clinic'))


def test_an_unknown_outcome_names_the_change(run, store, objects_file):
    store.fail(HEAD_KEY, *[StoreFault.DELAYED for _ in range(3)])
    outcome = publish(run, objects_file, 0)
    assert_that(outcome.code, Equals(ExitCode.UNKNOWN_OUTCOME))
    assert_that(outcome.stderr, Contains('change-1'))


def test_a_store_that_is_down(run, store, objects_file):
    store.is_down = True
    for arguments in (['history'], ['diff', str(objects_file)]):
        outcome = run(*arguments)
        assert_that(outcome.code, Equals(ExitCode.UNREACHABLE))
    outcome = publish(run, objects_file, 0)
    assert_that(outcome.code, Equals(ExitCode.UNREACHABLE))


def test_an_empty_history(run):
    assert_that(run('history').stdout, Equals('nothing was published yet\n'))
