"""The commands as the command line shows them.

Each method only reads its arguments into an order: the arguments that are
left over are refused before anything is done.
"""

from collections.abc import Iterable, Iterator, Mapping

from fire.core import FireError
from fire.parser import DefaultParseValue

from laburnumyard.cli import _orders as orders
from laburnumyard.cli._environment import (
    ADMIN_VARIABLE,
    AUTHOR_VARIABLE,
    STORE_VARIABLE,
)
from laburnumyard.core.addresses import find_address_fault
from laburnumyard.core.ids import ServiceName, TargetName, Version

_JSON_FLAGS = ('--json', '-j')


def quote_arguments(arguments: Iterable[str]) -> Iterator[str]:
    """Quote values, so that fire takes a key such as 17 for no number.

    Parameters
    ----------
    arguments
        The command line.

    Yields
    ------
    str
        Each argument, with its value as a Python literal.
    """
    for argument in arguments:
        option, equals, text = argument.partition('=')
        if argument in _JSON_FLAGS:
            # Otherwise fire takes the next argument for its value.
            yield '--json=True'
        elif argument.startswith('-') and equals:
            yield f'{option}={_quote(text)}'
        else:
            yield _quote(argument)


def _quote(text: str) -> str:
    if DefaultParseValue(text) == text:
        return text
    return repr(text)


def _request(order: orders.Order, json: bool) -> orders.Request:
    if not isinstance(json, bool):
        raise FireError(f'--json takes no value, not {json!r}')
    return orders.Request(order, json)


def _parse_number(option: str, text: str) -> int:
    if not str(text).isdecimal():
        raise FireError(f'--{option} needs a whole number, not {text!r}')
    return int(text)


def _require_files(files: tuple[str, ...]) -> tuple[str, ...]:
    if not files:
        raise FireError('name at least one file or directory')
    return files


class Commands:
    """Route requests to servers that own keys exclusively.

    Run a daemon, publish the operators' objects, and look after the targets.
    Every command takes --json. Exit status: 0 done, 1 refused or a problem
    found, 2 wrong command line or settings, 3 conflict with another operator,
    4 store or daemon unreachable, 5 outcome unknown.

    The addresses of the store and of a daemon's admin interface come from
    --store and --admin or from LABURNUMYARD_STORE and LABURNUMYARD_ADMIN; the
    operators' token comes from LABURNUMYARD_TOKEN.
    """

    def __init__(self, variables: Mapping[str, str]) -> None:
        """Keep the environment variables; fire lists public attributes."""
        self._variables = variables

    def daemon(self, settings: str, *, json: bool = False) -> orders.Request:
        """Run the daemon until it is told to stop (SIGTERM or SIGINT).

        Args:
            settings: The TOML file with the settings of this daemon.
            json: Print problems of the settings as JSON.
        """
        return _request(orders.Daemon(settings), json)

    def check(self, *files: str, json: bool = False) -> orders.Request:
        """Check settings or objects without publishing anything.

        Args:
            files: TOML files, or directories of them. A file with a [daemon]
                table is checked as settings; all others together as objects.
            json: Print JSON.
        """
        return _request(orders.Check(_require_files(files)), json)

    def diff(
        self,
        *files: str,
        store: str = '',
        json: bool = False,
    ) -> orders.Request:
        """Compare objects with the configuration in force.

        Args:
            files: All TOML files with objects, or directories of them.
            store: The address of the store, such as 10.0.0.1:2379.
            json: Print JSON.
        """
        address = self._address('store', STORE_VARIABLE, store)
        order = orders.Diff(_require_files(files), address)
        return _request(order, json)

    def publish(
        self,
        *files: str,
        base: int = 0,
        note: str = '',
        author: str = '',
        store: str = '',
        json: bool = False,
    ) -> orders.Request:
        """Check objects as a whole and put them in force.

        Args:
            files: All TOML files with objects, or directories of them.
            base: The version that they replace, as diff shows it; 0 where
                nothing was published yet.
            note: Why, for the history.
            author: Who; the name of the user by default.
            store: The address of the store, such as 10.0.0.1:2379.
            json: Print JSON.
        """
        order = orders.Publish(
            _require_files(files),
            self._address('store', STORE_VARIABLE, store),
            Version(_parse_number('base', base)),
            self._author(author),
            note,
        )
        return _request(order, json)

    def history(
        self,
        *,
        limit: int = 20,
        store: str = '',
        json: bool = False,
    ) -> orders.Request:
        """List who published what, the newest first.

        Args:
            limit: How many publications.
            store: The address of the store, such as 10.0.0.1:2379.
            json: Print JSON.
        """
        address = self._address('store', STORE_VARIABLE, store)
        order = orders.History(address, _parse_number('limit', limit))
        return _request(order, json)

    def status(self, *, admin: str = '', json: bool = False) -> orders.Request:
        """Show the state of a daemon.

        Args:
            admin: The daemon's admin address, such as 10.0.0.1:7002.
            json: Print JSON.
        """
        address = self._address('admin', ADMIN_VARIABLE, admin)
        return _request(orders.Status(address), json)

    def owner(
        self,
        service: str,
        key: str,
        *,
        admin: str = '',
        json: bool = False,
    ) -> orders.Request:
        """Show which target owns a key.

        Args:
            service: The name of the service.
            key: The key as callers send it.
            admin: The daemon's admin address, such as 10.0.0.1:7002.
            json: Print JSON.
        """
        address = self._address('admin', ADMIN_VARIABLE, admin)
        order = orders.Owner(address, ServiceName(service), key)
        return _request(order, json)

    def move(
        self,
        service: str,
        key: str,
        target: str,
        *,
        admin: str = '',
        json: bool = False,
    ) -> orders.Request:
        """Move the range that holds a key to a target.

        Args:
            service: The name of the service.
            key: The key as callers send it.
            target: The name of the target that is to own it.
            admin: The daemon's admin address, such as 10.0.0.1:7002.
            json: Print JSON.
        """
        order = orders.Move(
            self._address('admin', ADMIN_VARIABLE, admin),
            ServiceName(service),
            key,
            TargetName(target),
        )
        return _request(order, json)

    def drain(
        self,
        target: str,
        *,
        admin: str = '',
        json: bool = False,
    ) -> orders.Request:
        """Move all ranges away from a target and give it no new work.

        Args:
            target: The name of the target.
            admin: The daemon's admin address, such as 10.0.0.1:7002.
            json: Print JSON.
        """
        address = self._address('admin', ADMIN_VARIABLE, admin)
        order = orders.Drain(address, TargetName(target), draining=True)
        return _request(order, json)

    def undrain(
        self,
        target: str,
        *,
        admin: str = '',
        json: bool = False,
    ) -> orders.Request:
        """Let a drained target own ranges again.

        Args:
            target: The name of the target.
            admin: The daemon's admin address, such as 10.0.0.1:7002.
            json: Print JSON.
        """
        address = self._address('admin', ADMIN_VARIABLE, admin)
        order = orders.Drain(address, TargetName(target), draining=False)
        return _request(order, json)

    def explain(self, kind: str = '', *, json: bool = False) -> orders.Request:
        """Describe an error kind: status, whether it ran, what to do.

        Args:
            kind: The kind, such as no-owner; all kinds where none is given.
            json: Print JSON.
        """
        return _request(orders.Explain(kind), json)

    def _address(self, option: str, variable: str, given: str) -> str:
        address = given or self._variables.get(variable, '')
        if not address:
            raise FireError(f'give --{option}=IP:PORT or set {variable}')
        fault = find_address_fault(address)
        if fault:
            raise FireError(f'--{option}={address}: {fault}')
        return address

    def _author(self, given: str) -> str:
        author = given or self._variables.get(AUTHOR_VARIABLE, '')
        if not author:
            raise FireError(f'give --author=NAME or set {AUTHOR_VARIABLE}')
        return author
