"""``coltsfoottrack reference``: prints reference pages generated from the code."""

from coltsfoottrack._internal.settings.reference import settings_reference


class ReferenceCommands:
    """Prints reference pages."""

    def settings(self) -> None:
        """Prints the reference of all settings and configuration fields as Markdown."""
        print(settings_reference(), end="")
