import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from laburnumyard.cli import ExitCode
from laburnumyard.core.errors import ErrorKind
from tests.core.test_settings import SOUND


def test_valid_files(run, objects_file):
    settings = objects_file.parent / 'daemon.toml'
    settings.write_text(SOUND)
    outcome = run('check', str(objects_file.parent))
    assert_that(outcome.code, Equals(ExitCode.OK))
    assert_that(outcome.stdout, Equals('2 files are valid\n'))


def test_problems_go_to_stderr_or_json(run, objects_file):
    broken = objects_file.read_text().replace("region = 'lima'", 'region = 1')
    objects_file.write_text(broken)
    outcome = run('check', str(objects_file))
    assert_that(outcome.code, Equals(ExitCode.REFUSED))
    assert_that(outcome.stderr, Contains('service catalogue: region = 1: give'))
    problems = run('check', '--json', str(objects_file)).json['problems']
    assert_that(problems[0]['field'], Equals('region'))


@pytest.mark.parametrize('name', ['missing.toml', 'latin.toml'])
def test_unreadable_files(run, tmp_path, name):
    (tmp_path / 'latin.toml').write_bytes(b'\xe9')
    outcome = run('check', str(tmp_path / name))
    assert_that(outcome.code, Equals(ExitCode.REFUSED))
    assert_that(outcome.stderr, Contains('name a readable UTF-8 file'))


def test_bad_settings_stop_the_daemon(run, tmp_path):
    path = tmp_path / 'daemon.toml'
    path.write_text(f'{SOUND}[timing]\nsuspect_after_s = 9\nfoo = 1')
    outcome = run('daemon', str(path))
    assert_that(outcome.code, Equals(ExitCode.USAGE))
    assert_that(outcome.stderr, Contains('foo = 1'))


def test_every_kind_is_explained(run):
    stdout = run('explain').stdout
    for kind in ErrorKind:
        assert_that(stdout, Contains(kind.value))
        described = run('explain', kind.value, '--json').json['kinds']
        assert_that(described, HasLength(1))


def test_an_unknown_kind_is_refused(run):
    outcome = run('explain', 'gremlins')
    assert_that(outcome.code, Equals(ExitCode.REFUSED))


@pytest.mark.parametrize(
    'arguments, complaint',
    [
        ('', 'laburnumyard'),
        ('frobnicate', 'frobnicate'),
        ('check', 'at least one file'),
        ('explain no-owner --jsn', '--jsn'),
        ('explain no-owner --json=maybe', 'takes no value'),
        ('explain --url=shop.example/benches/17', 'LABURNUMYARD_GATEWAY'),
        ('explain no-owner --url=a/b --gateway=127.0.0.1:1', 'not both'),
        ('explain --url=benches --gateway=127.0.0.1:1', 'HOST/PATH'),
        ('explain --key=17', '--url'),
        ('status', 'LABURNUMYARD_ADMIN'),
        ('status --admin=localhost:1', 'IP number'),
        ('publish a.toml --base=x --note=y', 'whole number'),
        ('publish a.toml --bse=1', 'bse'),
        ('history --limit=-1', 'whole number'),
    ],
)
def test_a_wrong_command_line_does_nothing(run, store, arguments, complaint):
    outcome = run(*arguments.split())
    assert_that(outcome.code, Equals(ExitCode.USAGE))
    assert_that(outcome.stderr, Contains(complaint))
    assert_that(store.log, HasLength(0))


def test_help_lists_the_commands(run):
    outcome = run('--help')
    assert_that(outcome.code, Equals(ExitCode.OK))
    for command in ('check', 'publish', 'undrain'):
        assert_that(outcome.stdout, Contains(command))


def test_the_version(run):
    assert_that(run('--version').stdout, Contains('laburnumyard 0.'))
