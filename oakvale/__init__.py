"""oakvale: a gateway that holds customers to their quotas before a shared back end."""

__version__ = "0.2.0"
