"""All tasks of one run, so that none of them outlives it."""

import asyncio
import contextvars

RUN = contextvars.ContextVar("tasks of the run", default=None)


def make_task(loop, coroutine, **options):
    """Makes a task that belongs to the run of the task that begins it."""
    task = asyncio.Task(coroutine, loop=loop, **options)
    run = RUN.get()
    if run is not None:
        run.add(task)
        task.add_done_callback(run.discard)
    return task


class RunTasks:
    """What the current task begins from now on."""

    def __init__(self):
        self.tasks = set()
        RUN.set(self.tasks)
        asyncio.get_running_loop().set_task_factory(make_task)

    async def end(self):
        """Cancels all tasks and waits for them."""
        # More than once, since wait_for() drops a cancellation that comes together
        # with the result that it waits for (Python before 3.12).
        while self.tasks:
            tasks = list(self.tasks)
            for task in tasks:
                task.cancel()
            done, _ = await asyncio.wait(tasks, timeout=1)
            for task in done:
                if not task.cancelled():
                    task.exception()  # One of them failed the run already.
