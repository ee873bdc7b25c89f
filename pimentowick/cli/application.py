"""The ``pimentowick`` command-line application."""

import sys

import cleo.application
from cleo import exceptions

from pimentowick.cli import (
    amend,
    audit,
    day_show,
    diff,
    fleet_status,
    history,
    host_drain,
    job_cancel,
    job_fetch,
    job_list,
    job_show,
    job_submit,
    job_watch,
    outcome,
    publish,
    settings_check,
    settings_reference,
    show,
    template_check,
    token_make,
    token_retire,
    token_rotate,
    trace,
    workspace_resume,
    workspace_stop,
)

__all__ = [
    "make_application",
    "run",
    "run_command",
]

COMMANDS = (
    amend.Amend,
    audit.Audit,
    day_show.DayShow,
    diff.Diff,
    fleet_status.FleetStatus,
    history.History,
    host_drain.HostDrain,
    job_cancel.JobCancel,
    job_fetch.JobFetch,
    job_list.JobList,
    job_show.JobShow,
    job_submit.JobSubmit,
    job_watch.JobWatch,
    publish.Publish,
    settings_check.SettingsCheck,
    settings_reference.SettingsReference,
    show.Show,
    template_check.TemplateCheck,
    token_make.TokenMake,
    token_retire.TokenRetire,
    token_rotate.TokenRotate,
    trace.Trace,
    workspace_resume.WorkspaceResume,
    workspace_stop.WorkspaceStop,
)


def make_application():
    """Create the application and register all commands."""
    app = cleo.application.Application("pimentowick")
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command in COMMANDS:
        app.add(command())
    return app


def run_command(*streams):
    """Run one command and return its exit code.

    Args:
        *streams: Input, output and error output; default to those of the process.
    """
    try:
        return make_application().run(*streams)
    except exceptions.CleoError as error:
        print(f"usage: {error} See pimentowick help.", file=sys.stderr)
        return int(outcome.ExitCode.USAGE)


def run():
    """Run the command given in ``sys.argv`` and exit with its code."""
    sys.exit(run_command())
