from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from laburnumyard.core.configuration import difference, parse_objects


def test_changes_name_field_and_both_values(configuration, objects):
    text = objects.replace('0.25', '0.5').replace("'low'", "'lower'")
    changed = parse_objects({'other.toml': text}).ok
    lines = [str(change) for change in difference(configuration, changed)]
    assert_that(lines, HasLength(3))
    assert_that(lines[0], Equals('removed key_range low'))
    assert_that(lines[1], Equals('added key_range lower'))
    assert_that(lines[2].startswith('changed customer clinic'), Equals(True))


def test_everything_is_new_at_first(configuration):
    assert_that(difference(None, configuration), HasLength(9))
    assert_that(difference(configuration, configuration), Equals(()))


def test_lists_show_the_items_that_came_and_went(configuration, objects):
    more = objects.replace("targets = ['catalogue-2']", 'targets = [NAMES]')
    text = more.replace('NAMES', "'catalogue-2', 'catalogue-1'")
    changed = parse_objects({'a': text}).ok
    assert_that(
        str(difference(configuration, changed)[0]),
        Equals('changed key_range high: targets nothing -> catalogue-1'),
    )
