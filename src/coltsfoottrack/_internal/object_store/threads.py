"""Runs blocking calls for an event loop in threads that do not delay the process's exit."""

from asyncio import AbstractEventLoop, Future, get_running_loop
from collections.abc import Callable
from threading import Thread
from typing import ParamSpec, TypeVar

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


async def in_thread(
    function: Callable[Parameters, Result],
    *arguments: Parameters.args,
    **keywords: Parameters.kwargs,
) -> Result:
    """Runs a blocking function in a thread of its own and returns its result.

    With asyncio.to_thread, closing the event loop waits for the threads, up to 32 s for a pending
    watch. This thread is a daemon thread: a cancelled call keeps running until it ends or the
    process exits.
    """
    loop = get_running_loop()
    future: Future[Result] = loop.create_future()

    def run_and_report() -> None:
        try:
            result = function(*arguments, **keywords)
        except Exception as error:
            _call_in_loop(loop, _set_exception, future, error)
        else:
            _call_in_loop(loop, _set_result, future, result)

    Thread(target=run_and_report, name=f"call-{function.__name__}", daemon=True).start()
    return await future


def _call_in_loop(loop: AbstractEventLoop, *call: object) -> None:
    try:
        loop.call_soon_threadsafe(*call)
    except RuntimeError:
        # The loop was closed, so the result is not needed.
        pass


def _set_result(future: Future, result: object) -> None:
    if not future.done():
        future.set_result(result)


def _set_exception(future: Future, error: Exception) -> None:
    if not future.done():
        future.set_exception(error)
