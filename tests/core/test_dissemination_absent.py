from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core.dissemination import (
    DisseminationSettings,
    DocumentName,
    Documents,
    HeadUnchanged,
    NamesChanged,
    PeersChanged,
    ReadStore,
    Tick,
)

CONFIG = DocumentName('config')


def test_reader_watches_a_head_that_the_store_does_not_have_yet():
    documents = Documents(
        DisseminationSettings(),
        lambda name, content: None,
        lambda: 0.5,
    )
    documents.handle(NamesChanged((CONFIG,)), 1.0)
    documents.handle(PeersChanged((), (), (), is_reader=True), 1.0)
    first = documents.handle(Tick(), 1.1)
    assert_that(first, Equals([ReadStore(CONFIG, None)]))
    again = documents.handle(HeadUnchanged(CONFIG), 1.2)
    assert_that(again, Equals([ReadStore(CONFIG, 0)]))
