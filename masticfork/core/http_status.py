"""Classes of HTTP status codes."""

_MIN_FINAL_STATUS = 200


def is_interim(status: int) -> bool:
    """Return whether a response with this status precedes the final response."""
    return status < _MIN_FINAL_STATUS
