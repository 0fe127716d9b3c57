"""Command line interface, built with fire.

Each method only parses its arguments into a command object, so that surplus
arguments are rejected before anything is executed.
"""

from collections.abc import Iterable, Iterator, Mapping

from fire.core import FireError
from fire.parser import DefaultParseValue

from laburnumyard.cli import _command_types as command_types
from laburnumyard.cli._environment import (
    ADMIN_VARIABLE,
    AUTHOR_VARIABLE,
    GATEWAY_VARIABLE,
    STORE_VARIABLE,
)
from laburnumyard.core.addresses import find_address_remedy
from laburnumyard.core.ids import ServiceName, TargetName, Version

_JSON_FLAGS = ('--json', '-j')


def quote_arguments(arguments: Iterable[str]) -> Iterator[str]:
    """Quote values, so that fire does not parse a key like 17 as a number.

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
            # Otherwise fire parses the next argument as its value.
            yield '--json=True'
        elif argument.startswith('-') and equals:
            yield f'{option}={_quote(text)}'
        else:
            yield _quote(argument)


def _quote(text: str) -> str:
    if DefaultParseValue(text) == text:
        return text
    return repr(text)


def _make_request(
    command: command_types.Command, json: bool
) -> command_types.Request:
    if not isinstance(json, bool):
        raise FireError(f'--json takes no value, not {json!r}')
    return command_types.Request(command, json)


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

    Run a daemon, publish configuration objects, and manage the targets.
    Every command takes --json. Exit status: 0 done, 1 refused or a problem
    found, 2 wrong command line or settings, 3 conflict with another operator,
    4 store or daemon unreachable, 5 outcome unknown.

    The addresses of the store and of a daemon's admin interface come from
    --store and --admin or from LABURNUMYARD_STORE and LABURNUMYARD_ADMIN; the
    operators' token comes from LABURNUMYARD_TOKEN.
    """

    def __init__(self, variables: Mapping[str, str]) -> None:
        """Store the variables privately, as fire lists public attributes."""
        self._variables = variables

    def daemon(
        self, settings: str, *, json: bool = False
    ) -> command_types.Request:
        """Run the daemon until SIGTERM or SIGINT.

        Args:
            settings: The TOML file with the settings of this daemon.
            json: Print problems of the settings as JSON.
        """
        return _make_request(command_types.Daemon(settings), json)

    def check(self, *files: str, json: bool = False) -> command_types.Request:
        """Check settings or objects without publishing anything.

        Args:
            files: TOML files, or directories of them. A file with a [daemon]
                table is checked as settings; all others together as objects.
            json: Print JSON.
        """
        return _make_request(command_types.Check(_require_files(files)), json)

    def diff(
        self,
        *files: str,
        store: str = '',
        json: bool = False,
    ) -> command_types.Request:
        """Compare objects with the current configuration.

        Args:
            files: All TOML files with objects, or directories of them.
            store: The address of the store, such as 10.0.0.1:2379.
            json: Print JSON.
        """
        address = self._address('store', STORE_VARIABLE, store)
        command = command_types.Diff(_require_files(files), address)
        return _make_request(command, json)

    def publish(
        self,
        *files: str,
        base: int = 0,
        note: str = '',
        author: str = '',
        store: str = '',
        json: bool = False,
    ) -> command_types.Request:
        """Validate a complete set of objects and publish it.

        Args:
            files: All TOML files with objects, or directories of them.
            base: The version to replace, as shown by diff; 0 if nothing was
                published yet.
            note: Reason for the change, kept in the history.
            author: Name of the author; the current user by default.
            store: The address of the store, such as 10.0.0.1:2379.
            json: Print JSON.
        """
        command = command_types.Publish(
            _require_files(files),
            self._address('store', STORE_VARIABLE, store),
            Version(_parse_number('base', base)),
            self._author(author),
            note,
        )
        return _make_request(command, json)

    def history(
        self,
        *,
        limit: int = 20,
        store: str = '',
        json: bool = False,
    ) -> command_types.Request:
        """List publications, newest first.

        Args:
            limit: Maximum number of publications.
            store: The address of the store, such as 10.0.0.1:2379.
            json: Print JSON.
        """
        address = self._address('store', STORE_VARIABLE, store)
        command = command_types.History(address, _parse_number('limit', limit))
        return _make_request(command, json)

    def status(
        self, *, admin: str = '', json: bool = False
    ) -> command_types.Request:
        """Show the state of a daemon.

        Args:
            admin: The daemon's admin address, such as 10.0.0.1:7002.
            json: Print JSON.
        """
        address = self._address('admin', ADMIN_VARIABLE, admin)
        return _make_request(command_types.Status(address), json)

    def owner(
        self,
        service: str,
        key: str,
        *,
        admin: str = '',
        json: bool = False,
    ) -> command_types.Request:
        """Show which target owns a key.

        Args:
            service: The name of the service.
            key: The key as callers send it.
            admin: The daemon's admin address, such as 10.0.0.1:7002.
            json: Print JSON.
        """
        address = self._address('admin', ADMIN_VARIABLE, admin)
        command = command_types.Owner(address, ServiceName(service), key)
        return _make_request(command, json)

    def move(
        self,
        service: str,
        key: str,
        target: str,
        *,
        admin: str = '',
        json: bool = False,
    ) -> command_types.Request:
        """Move the key range that contains a key to a target.

        Args:
            service: The name of the service.
            key: The key as callers send it.
            target: The name of the new owner.
            admin: The daemon's admin address, such as 10.0.0.1:7002.
            json: Print JSON.
        """
        command = command_types.Move(
            self._address('admin', ADMIN_VARIABLE, admin),
            ServiceName(service),
            key,
            TargetName(target),
        )
        return _make_request(command, json)

    def drain(
        self,
        target: str,
        *,
        admin: str = '',
        json: bool = False,
    ) -> command_types.Request:
        """Move all ranges off a target and send it no new requests.

        Args:
            target: The name of the target.
            admin: The daemon's admin address, such as 10.0.0.1:7002.
            json: Print JSON.
        """
        address = self._address('admin', ADMIN_VARIABLE, admin)
        command = command_types.Drain(
            address, TargetName(target), draining=True
        )
        return _make_request(command, json)

    def undrain(
        self,
        target: str,
        *,
        admin: str = '',
        json: bool = False,
    ) -> command_types.Request:
        """Let a drained target own ranges again.

        Args:
            target: The name of the target.
            admin: The daemon's admin address, such as 10.0.0.1:7002.
            json: Print JSON.
        """
        address = self._address('admin', ADMIN_VARIABLE, admin)
        command = command_types.Drain(
            address, TargetName(target), draining=False
        )
        return _make_request(command, json)

    def explain(
        self,
        kind: str = '',
        *,
        url: str = '',
        key: str = '',
        gateway: str = '',
        json: bool = False,
    ) -> command_types.Request:
        """Describe an error kind, or where a request would go now.

        Args:
            kind: The kind, such as no-owner; all kinds if omitted.
            url: Host and path of a request, such as shop.example/benches/17.
                A running gateway tells where it would go; nothing is sent.
            key: The shard key of the request, a number.
            gateway: The metrics address of the gateway, such as
                10.0.0.1:9464; LABURNUMYARD_GATEWAY if omitted.
            json: Print JSON.
        """
        if not url:
            if key or gateway:
                raise FireError('give --url=HOST/PATH too')
            return _make_request(command_types.Explain(kind), json)
        if kind:
            raise FireError('give an error kind or --url, not both')
        host, slash, path = url.removeprefix('http://').partition('/')
        if not host or not slash:
            raise FireError(f'--url={url}: give HOST/PATH')
        address = self._address('gateway', GATEWAY_VARIABLE, gateway)
        command = command_types.ExplainRequest(address, host, f'/{path}', key)
        return _make_request(command, json)

    def _address(self, option: str, variable: str, given: str) -> str:
        address = given or self._variables.get(variable, '')
        if not address:
            raise FireError(f'give --{option}=IP:PORT or set {variable}')
        fault = find_address_remedy(address)
        if fault:
            raise FireError(f'--{option}={address}: {fault}')
        return address

    def _author(self, given: str) -> str:
        author = given or self._variables.get(AUTHOR_VARIABLE, '')
        if not author:
            raise FireError(f'give --author=NAME or set {AUTHOR_VARIABLE}')
        return author
