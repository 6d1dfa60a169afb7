"""What interrupts the handling of a request, raised in its task."""


class DeadlineExceeded(Exception):
    """The request's deadline has passed."""


class Abandoned(Exception):
    """The process is about to end."""


class SecondRunTimeout(Exception):
    """A second run has not shown in time whether a stream goes on."""
