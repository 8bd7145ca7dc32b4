"""Fixtures that the scenarios share."""

import contextlib
import pathlib
import tempfile

import anyio.from_thread
import behave.model
import behave.runner

from features import processes
from features import world


def before_all(context: behave.runner.Context) -> None:
    context.stack = contextlib.ExitStack()
    context.portal = context.stack.enter_context(
        anyio.from_thread.start_blocking_portal(
            'asyncio', {'use_uvloop': True}
        )
    )
    context.world = None
    context.processes = None


def before_tag(context: behave.runner.Context, tag: str) -> None:
    if tag == 'deployment' and context.world is None:
        folder = context.stack.enter_context(tempfile.TemporaryDirectory())
        made = world.World(pathlib.Path(folder))
        context.stack.enter_context(
            context.portal.wrap_async_context_manager(made.running())
        )
        context._root['world'] = made

    if tag == 'binary' and context.processes is None:
        folder = context.stack.enter_context(tempfile.TemporaryDirectory())
        started = processes.Processes(pathlib.Path(folder))
        context.stack.enter_context(
            context.portal.wrap_async_context_manager(started.started())
        )
        context._root['processes'] = started


def after_scenario(
    context: behave.runner.Context, scenario: behave.model.Scenario
) -> None:
    if context.world is not None:
        context.portal.call(context.world.reset)


def after_all(context: behave.runner.Context) -> None:
    context.stack.close()
