"""Descriptions of the reasons in decision logs, shown to operators."""

REASONS = {
    "admission_level": "services on its route could not admit all requests of its rank",
    "answer_forgotten": "its answer was no longer stored when it was requested again",
    "answer_not_http": "the backend server's answer was not HTTP",
    "answer_not_sealed": "the backend server's answer had no valid response seal",
    "answer_too_large": "the backend server's answer was too large",
    "backend_down": "the backend server had ended",
    "backend_failed": "the backend server answered with a failure",
    "backend_left": "the backend server had announced that it leaves",
    "backend_refused": "the backend server refused it",
    "backend_unreachable": "the backend server accepted no connection",
    "caller_gone": "its caller had disconnected",
    "claim_unanswered": "the node that had sent it did not confirm that it should still run",
    "connect_timeout": "the other node accepted no connection in time",
    "connection_closed": "the backend server closed the connection without an answer",
    "connection_refused": "the other node refused the connection",
    "connection_reset": "the connection to the backend server was reset without an answer",
    "expired": "its deadline passed before it could run",
    "link_lost": "the connection to the other node was lost",
    "memory": "the bodies in flight at the node used all the memory reserved for them",
    "missing_key": "it carried no key of a customer",
    "no_backend": "no backend server had reported to the node yet",
    "no_route": "no route matches",
    "no_configuration": "the node had no configuration yet",
    "no_member_accepts": "no instance of the service accepted requests",
    "no_member_known": "no instance of the service was known",
    "node_leaving": "the node beside the backend server was stopping",
    "node_restarted": "the node to which it was sent was restarted before it answered",
    "node_stopping": "the node beside the caller was stopping",
    "other_backend": "another backend server was at the address by then",
    "other_process": "the node had been restarted since it was chosen",
    "overdue": "the backend server did not answer by the deadline",
    "overload": "no slot became free within the time that it could wait",
    "peer_silent": "the other node did not answer",
    "quarantined": "requests like it had crashed backend servers",
    "quota": "its customer had used up its quota",
    "repeat_budget": "the service's retry budget was used up",
    "time_out": "its deadline passed while it ran or waited",
    "unknown_key": "it carried no valid key of a customer",
    "withdrawn": "it was sent to another node in the meantime",
}


def describe(reason: str) -> str:
    """Returns the description of a reason, or the reason itself if it is unknown."""
    return REASONS.get(reason, reason)
