"""Steps for a data folder on a disk without space."""

import errno
import os
import pathlib
import tempfile

import anyio
import behave
import eliot

from features.steps.fleet import in_fleet
from greengagegw.adapters import files

LIMIT_SECONDS = 1.0


@behave.given('a disk without space for {what}')
def given_disk(context, what):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.data_folder = pathlib.Path(folder.name) / 'data'
    context.has_space = False
    name = 'mkdir' if what == 'the folder' else 'open'
    system_call = getattr(os, name)

    def fail(path, *arguments, **options):
        is_inside = str(path).startswith(str(context.data_folder))
        if is_inside and not context.has_space:
            raise OSError(errno.ENOSPC, 'No space left on device')
        return system_call(path, *arguments, **options)

    setattr(os, name, fail)
    context.add_cleanup(setattr, os, name, system_call)


@behave.when(
    'a data folder is opened there, and there is space after {seconds:g}'
    ' seconds'
)
@in_fleet
async def when_opened(context, seconds):
    context.logged = []
    eliot.add_destinations(context.logged.append)
    # The first destination gets what was logged before.
    context.logged.clear()
    context.folder = None

    async def free():
        await anyio.sleep(seconds)
        assert context.folder is None
        context.has_space = True

    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(free)
            with anyio.fail_after(LIMIT_SECONDS):
                context.folder = await files.open_folder(context.data_folder)
    finally:
        eliot.remove_destination(context.logged.append)
    context.folder.close()


@behave.then(
    'the folder is open within 1 second, and the log has the reason once'
)
def then_open(context):
    reasons = [
        one['reason']
        for one in context.logged
        if one.get('message_type') == 'disk:no_space'
    ]
    assert len(reasons) == 1 and 'No space' in reasons[0], reasons
    assert (context.data_folder / files.LOCK_NAME).exists()
