"""Tests that the reference page of the settings is complete and current."""

from pathlib import Path
from unittest import TestCase

from coltsfoottrack._internal.settings.reference import fields_without_help, settings_reference

PAGE = Path(__file__).resolve().parents[2] / "docs" / "settings.md"


class ReferenceTest(TestCase):
    """Guards against settings that are missing from the reference page."""

    def test_every_field_is_explained(self) -> None:
        self.assertEqual(fields_without_help(), [])

    def test_page_is_current(self) -> None:
        self.assertEqual(
            PAGE.read_text(encoding="utf-8"),
            settings_reference(),
            "run: coltsfoottrack reference settings > docs/settings.md",
        )
