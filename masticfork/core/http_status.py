"""Classes of HTTP status codes."""

_MIN_STATUS, _MIN_FINAL_STATUS, _MAX_STATUS = 100, 200, 599


def is_status(status: int) -> bool:
    """Return whether a number is a status code of HTTP."""
    return _MIN_STATUS <= status <= _MAX_STATUS


def is_final(status: int) -> bool:
    """Return whether a response with this status is the final one."""
    return is_status(status) and not is_interim(status)


def is_interim(status: int) -> bool:
    """Return whether a response with this status precedes the final response."""
    return _MIN_STATUS <= status < _MIN_FINAL_STATUS
