"""Hooks that start and reset the fixtures shared by scenarios."""

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
        new_world = world.World(pathlib.Path(folder))
        context.stack.enter_context(
            context.portal.wrap_async_context_manager(new_world.running())
        )
        context._root['world'] = new_world

    if tag == 'binary' and context.processes is None:
        folder = context.stack.enter_context(tempfile.TemporaryDirectory())
        new_processes = processes.ProcessDeployment(pathlib.Path(folder))
        context.stack.enter_context(
            context.portal.wrap_async_context_manager(new_processes.started())
        )
        context._root['processes'] = new_processes


def after_scenario(
    context: behave.runner.Context, scenario: behave.model.Scenario
) -> None:
    if context.world is not None:
        context.portal.call(context.world.reset)


def after_all(context: behave.runner.Context) -> None:
    context.stack.close()
