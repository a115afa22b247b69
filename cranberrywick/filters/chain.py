"""The chain of filters that every request passes through.

Filters are entered in order and left in reverse order. Each filter that was entered
is left exactly once, whatever happens in between: a filter refuses the request, an
endpoint fails, or the caller disconnects in mid-stream. What a filter acquires in
`Filter.enter` it releases in `Filter.leave`.

>>> chain = FilterChain([RecordFilter(metrics), IdentifyFilter(), DispatchFilter(d)])
>>> response = chain.run(exchange)
"""

from collections.abc import Sequence

from cranberrywick.errors import CranberrywickError
from cranberrywick.filters.exchange import Exchange, Outcome, Response
from cranberrywick.model import Completed, Executed, Failed, NotSent

__all__ = ["Filter", "FilterChain"]


class Filter:
    """One step of the chain; override `enter`, and `leave` if it acquires anything."""

    def enter(self, exchange: Exchange) -> None:
        """Do this step's work.

        Set ``exchange.response`` to answer without entering the filters that follow,
        or raise a `CranberrywickError` to refuse the request.
        """

    def leave(self, exchange: Exchange, outcome: Outcome) -> None:
        """Release what `enter` acquired; must not raise.

        It is also called when `enter` of this filter raised.
        """


class FilterChain:
    """Runs filters in a fixed order and leaves them in reverse."""

    def __init__(self, filters: Sequence[Filter]):
        self._filters = tuple(filters)

    def run(self, exchange: Exchange) -> Response:
        """Return the response when the whole answer is known or has been streamed.

        Raises what a filter raised, after leaving the filters that were entered.
        """
        entered: list[Filter] = []
        try:
            for step in self._filters:
                entered.append(step)
                step.enter(exchange)
                if exchange.response is not None:
                    break
        except CranberrywickError as error:
            self._leave(entered, exchange, self._failed_outcome(exchange, error))
            raise
        except BaseException:
            unknown = Failed("internal_error", Executed.UNKNOWN)
            self._leave(entered, exchange, unknown)
            raise
        self._leave(entered, exchange, Completed(exchange.output_tokens))
        return exchange.response

    def _failed_outcome(self, exchange: Exchange, error: CranberrywickError) -> Outcome:
        if exchange.sent:
            return Failed(error.type, error.executed)
        return NotSent(error.type)

    def _leave(
        self, entered: list[Filter], exchange: Exchange, outcome: Outcome
    ) -> None:
        for step in reversed(entered):
            step.leave(exchange, outcome)
