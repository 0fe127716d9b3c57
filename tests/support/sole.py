"""The only member of a collection."""


def only(members):
    """Return the sole member, and fail where there is another number."""
    found = list(members)
    assert len(found) == 1, found
    return found[0]
