"""Tables of plain text."""

import datetime

__all__ = ["format_notes", "format_table", "format_time"]

NOTE_HEADINGS = ("time", "kind", "name", "by", "client", "version", "outcome")


def format_table(headings, rows):
    """Return rows of texts below headings, in columns.

    Examples:
        >>> print(format_table(("a", "bc"), [("long", 1)]))
        a     bc
        long  1
    """
    lines = [[str(cell) for cell in row] for row in (headings, *rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_time(at):
    """Return epoch seconds as UTC text; a dash for 0.

    Examples:
        >>> format_time(0)
        '-'
        >>> format_time(86400.0)
        '1970-01-02 00:00:00Z'
    """
    if not at:
        return "-"
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def format_notes(notes):
    """Return the notes of the audit trail as a table."""
    return format_table(NOTE_HEADINGS, [_make_row(note) for note in notes])


def _make_row(note):
    name = note["name"] or note["stream"]
    versions = f"{note['version_before']} > {note['version_after']}"
    return (
        format_time(note["at"]),
        note["kind"] or "-",
        name,
        note["by"] or "-",
        note["client"] or "-",
        versions if note["version_after"] else "-",
        "accepted" if note["accepted"] else f"refused: {note['reason']}",
    )
