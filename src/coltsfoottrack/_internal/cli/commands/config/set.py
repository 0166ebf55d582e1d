"""``coltsfoottrack config set``: changes the configuration with a conditional write."""

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
    """Changes defaults or one exception, unless the configuration was changed concurrently.

    Args:
        assignments: FIELD=VALUE pairs of the defaults or of the exception; an empty VALUE
            removes the field.
        exception: Name of the exception to add or change.
        service: Service of the exception.
        operation: Operation of the exception; default is all operations of the service.
        reason: Written reason of the exception; required.
        expires: Expiry of the exception, an RFC 3339 time; never removes it.
        remove: Name of an exception to remove.
        file: YAML file with a whole configuration that replaces the stored one; needs --base
            unless none is stored yet.
        base: Generation that the change is based on; refused if it is no longer the newest.
        wait: Maximum seconds to wait until every known node confirms; 0 does not wait, the flag
            without a number waits 10 s.
        node: Peer address HOST:PORT of any node; default is COLTSFOOTTRACK_NODE.
        platform: Address HOST:PORT of the platform; default is the platform that the nodes use.
        output: text or json.
        unknown: Not accepted; the command fails on unknown flags before it changes anything.
    """
    reject_unknown_flags(unknown)
    check_output(output)
    edit = EditRequest(assignments, exception, service, operation, reason, expires, remove, file)
    if edit.is_empty:
        raise CommandError(
            "nothing to change; give FIELD=VALUE, --remove NAME or --file FILE", EXIT_BAD_INPUT
        )
    run(change_configuration(edit, base, wait, node, platform, output))
