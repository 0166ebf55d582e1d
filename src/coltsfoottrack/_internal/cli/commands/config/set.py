"""``coltsfoottrack config set``: a conditional change of the configuration."""

from asyncio import run

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.commands.drain import reject_unknown_flags
from coltsfoottrack._internal.cli.configuration_change import change_configuration
from coltsfoottrack._internal.cli.configuration_edit import EditRequest
from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, CommandError
from coltsfoottrack._internal.cli.output import check_output


@SetParseFn(str)
def set_configuration(
    *assignments: str,
    exception: str = "",
    service: str = "",
    operation: str = "",
    reason: str = "",
    expires: str = "",
    remove: str = "",
    file: str = "",
    base: str = "",
    wait: str = "0",
    node: str = "",
    platform: str = "",
    output: str = "text",
    **unknown: str,
) -> None:
    """Changes defaults or one exception, if nobody else changed the configuration meanwhile.

    Args:
        assignments: FIELD=VALUE pairs of the defaults or of the exception; an empty VALUE
            removes the field.
        exception: Name of the exception to make or change.
        service: Service of the exception.
        operation: Operation of the exception; none is all of the service.
        reason: Written reason of the exception; without one it is refused.
        expires: Expiry of the exception, an RFC 3339 time; never removes it.
        remove: Name of an exception to remove.
        file: YAML file with a whole configuration that replaces the present one; needs --base
            unless none is stored yet.
        base: Generation that you saw; the change is refused if it is no longer the newest.
        wait: Seconds to wait until every known node confirms, at least 1; 0 does not wait,
            the flag without a number waits 10 s.
        node: Peer address HOST:PORT of any node; default is COLTSFOOTTRACK_NODE.
        platform: Address HOST:PORT of the platform; default is the nodes' own.
        output: text or json.
        unknown: Not accepted; an unknown flag stops the command before it does anything.
    """
    reject_unknown_flags(unknown)
    check_output(output)
    edit = EditRequest(assignments, exception, service, operation, reason, expires, remove, file)
    if edit.is_empty:
        raise CommandError(
            "nothing to change; give FIELD=VALUE, --remove NAME or --file FILE", EXIT_BAD_INPUT
        )
    run(change_configuration(edit, base, wait, node, platform, output))
