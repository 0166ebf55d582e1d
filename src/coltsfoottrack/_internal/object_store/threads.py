"""Blocking calls made from an event loop, in threads that never hold up the process's end."""

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

    asyncio.to_thread makes the end of the event loop wait for its threads, up to 32 s for a
    waiting watch. This thread is a daemon thread, so a cancelled call is left behind.
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
        # The loop was closed; nobody waits for the result.
        pass


def _set_result(future: Future, result: object) -> None:
    if not future.done():
        future.set_result(result)


def _set_exception(future: Future, error: Exception) -> None:
    if not future.done():
        future.set_exception(error)
