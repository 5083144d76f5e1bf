"""What is assumed of the clocks of different hosts."""

# Greatest difference between the clocks of two hosts, in seconds. A deadline set by
# one host counts as passed for another only this much later.
MAX_CLOCK_DIFFERENCE_SECONDS = 1.0
