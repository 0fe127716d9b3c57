"""Plain text of the explanation of a request."""

from collections.abc import Iterator, Mapping
from typing import Any

Fields = Mapping[str, Any]
# Fields that are shown as lines of their own, or as a table.
PART_LISTS = frozenset(('parts', 'candidates'))


def render_explanation(content: Fields) -> Iterator[str]:
    """Yield the lines of an explanation.

    Fields that this version does not know are shown like others, as a gateway
    of a later version may have added them.

    Parameters
    ----------
    content
        The explanation, decoded from JSON.
    """
    yield _show_fields(content)
    for part in content.get('parts', ()):
        yield f'service {part.get("service")}: {_summary(part)}'
        yield f'  {_show_fields(part)}'
        for candidate in part.get('candidates', ()):
            yield f'  - {_show_fields(candidate)}'


def _summary(part: Fields) -> str:
    problem = part.get('problem')
    if problem:
        return f'not explained: {problem}'
    verdict = str(part.get('verdict'))
    refusal = part.get('refusal')
    if refusal:
        return f'{verdict}, {refusal}, retry after {part.get("retry_after_s")}'
    target = part.get('target')
    return f'{verdict} to {target}' if target else verdict


def _show_fields(fields: Fields) -> str:
    return ' '.join(
        f'{name}={_show(found)}'
        for name, found in fields.items()
        if name not in PART_LISTS and found is not None and found != ''
    )


def _show(found: object) -> str:
    if isinstance(found, bool):
        return 'yes' if found else 'no'
    if isinstance(found, float):
        return f'{found:.4g}'
    text = str(found)
    return text if text.isprintable() and ' ' not in text else repr(text)
