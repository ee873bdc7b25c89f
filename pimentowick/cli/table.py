"""Formats plain-text tables."""

import datetime

__all__ = ["format_audit_records", "format_table", "format_time"]

AUDIT_HEADINGS = ("time", "kind", "name", "by", "client", "version", "outcome")


def format_table(headings, rows):
    """Align headings and rows in columns.

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


def format_time(timestamp):
    """Format seconds since the epoch in UTC; a dash stands for 0.

    Examples:
        >>> format_time(0)
        '-'
        >>> format_time(86400.0)
        '1970-01-02 00:00:00Z'
    """
    if not timestamp:
        return "-"
    utc_time = datetime.datetime.fromtimestamp(timestamp, datetime.UTC)
    return utc_time.strftime("%Y-%m-%d %H:%M:%SZ")


def format_audit_records(records):
    """Format audit records as a table."""
    return format_table(AUDIT_HEADINGS, [_make_row(record) for record in records])


def _make_row(record):
    name = record["name"] or record["stream"]
    versions = f"{record['version_before']} > {record['version_after']}"
    return (
        format_time(record["at"]),
        record["kind"] or "-",
        name,
        record["by"] or "-",
        record["client"] or "-",
        versions if record["version_after"] else "-",
        "accepted" if record["accepted"] else f"refused: {record['reason']}",
    )
