"""The bound on clock differences between hosts."""

# Maximum assumed difference between the clocks of two hosts. A host treats a deadline
# set by another host as passed only this much later.
MAX_CLOCK_DIFFERENCE_SECONDS = 1.0
