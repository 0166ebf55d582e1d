"""Log lines of the runner: outcomes of single calls, and the times of shedding."""

from coltsfoottrack._internal.mesh.backend_state import BackendState
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.decisions import DecisionLog
from coltsfoottrack._internal.mesh.levels import OwnLevel
from coltsfoottrack._internal.mesh.runner_call import RunnerCall
from coltsfoottrack._internal.mesh.whole_requests import WholeRequests

# The start of shedding is logged once more than this share of the least important rank is shed.
SHEDDING_MARGIN = 0.1


class RunnerLog:
    """Writes the log lines of one runner."""

    def __init__(self, log: DecisionLog, backend: BackendState, level: OwnLevel) -> None:
        self.log = log
        self.backend = backend
        self.level = level
        # Whether the start of shedding was logged and its end was not.
        self.shedding = False
        # Routes of which this was logged for runs that fail for lack of capacity below.
        self.shed_routes: set[str] = set()

    def declined(self) -> None:
        """Counts a call that was returned at once."""
        self.log.count("run_declined")

    def outcome(
        self, event: str, call: RunnerCall, reason: str, running: int, waiting: int
    ) -> None:
        """Logs a call that ended without an answer, with the state of runner and backend server."""
        now = current_time()
        message = call.message
        fields = {"customer": message.customer} if message.customer else {}
        ran = now - call.sent_at if call.sent_at is not None else 0.0
        self.log.request(
            event,
            request_id=message.request_id,
            route=message.route,
            rank=call.rank,
            reason=reason,
            caller_node=call.key.node,
            backend=self.backend.identifier,
            report_number=self.backend.number,
            running=running,
            waiting=waiting,
            slots=self.backend.slots,
            level=round(self.level.level, 2),
            waited_ms=int((now - call.arrived - ran) * 1000.0),
            ran_ms=int(ran * 1000.0),
            time_left_ms=int((call.expires - now) * 1000.0),
            configuration_version=message.configuration_version,
            **fields,
        )

    def note_level(self, mean_run_seconds: float, waiting: int) -> None:
        """Logs the start and the end of shedding."""
        level = self.level
        if self.shedding:
            changed = level.level >= level.ranks
        else:
            changed = level.level < level.ranks - SHEDDING_MARGIN
        if not changed:
            return
        self.shedding = not self.shedding
        self.log.decision(
            "shedding_started" if self.shedding else "shedding_ended",
            load=round(level.load, 2),
            arrivals_per_s=int(level.rate),
            mean_run_ms=int(mean_run_seconds * 1000.0),
            waiting=waiting,
            limit=self.backend.limit,
        )

    def note_routes(self, whole_requests: WholeRequests) -> None:
        """Logs since when and until when requests of a route are refused for its failed runs."""
        routes = whole_requests.routes
        for route in list(self.shed_routes):
            known = routes.get(route)
            if known is None or known.level >= known.ranks:
                self.shed_routes.discard(route)
                self.log.request("route_shedding_ended", route=route)
        for route, known in routes.items():
            if known.level >= known.ranks - SHEDDING_MARGIN or route in self.shed_routes:
                continue
            self.shed_routes.add(route)
            self.log.request(
                "route_shedding_started",
                route=route,
                level=round(known.level, 2),
                finished_per_s=round(known.finished_before or 0.0, 1),
            )
