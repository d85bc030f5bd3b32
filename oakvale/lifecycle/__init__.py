"""Start and stop: the loop and its timers, limits, configuration, logging, serving and shutdown."""
