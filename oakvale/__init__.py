"""oakvale: an API gateway that enforces customers' quotas in front of shared backends."""

__version__ = "0.2.0"
