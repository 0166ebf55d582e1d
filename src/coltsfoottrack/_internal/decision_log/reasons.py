"""What the reasons in decision logs mean, in words for an operator."""

REASONS = {
    "admission_level": "the services on the way of its route could not take all of its rank",
    "answer_forgotten": "its answer was no longer kept when it was asked for again",
    "answer_not_http": "the backend server's answer was not HTTP",
    "answer_not_sealed": "the backend server's answer had no valid seal",
    "answer_too_large": "the backend server's answer was too large",
    "backend_down": "the backend server had ended",
    "backend_failed": "the backend server answered with a failure",
    "backend_left": "the backend server had said that it leaves",
    "backend_refused": "the backend server turned it away",
    "backend_unreachable": "the backend server took no connection",
    "caller_gone": "its caller had left",
    "claim_unanswered": "the node that had sent it did not confirm that it was still to run",
    "connect_timeout": "the other node took no connection in time",
    "connection_closed": "the backend server closed the connection without an answer",
    "connection_refused": "the other node refused the connection",
    "connection_reset": "the connection to the backend server was reset without an answer",
    "expired": "its time was over before it could run",
    "link_lost": "the connection to the other node was lost",
    "memory": "the bodies in flight at the node took all the memory set aside for them",
    "no_backend": "no backend server had reported to the node yet",
    "no_route": "no route fits",
    "no_configuration": "the node had no configuration yet",
    "no_member_accepts": "no instance of the service took requests",
    "no_member_known": "no instance of the service was known",
    "node_leaving": "the node beside the backend server was stopping",
    "node_restarted": "the node that had been asked to run it was restarted before it answered",
    "node_stopping": "the node beside the caller was stopping",
    "other_backend": "another backend server was at the address by then",
    "other_process": "the node had been restarted since it was chosen",
    "overdue": "the backend server did not answer by the deadline",
    "overload": "no slot became free in the time for which it could wait",
    "peer_silent": "the other node did not answer",
    "quarantined": "requests like it had crashed backend servers",
    "repeat_budget": "the service's budget for repeats was used up",
    "time_out": "its time was over while it ran or waited",
    "withdrawn": "it was given to another node meanwhile",
}


def describe(reason: str) -> str:
    """Returns the meaning of a reason, the reason itself if it is not known."""
    return REASONS.get(reason, reason)
