"""Policy: every decision about requests, attempts, quotas and backends, one module for each concern. It must
know no clock, no socket and no deployment, and is entered by `Gateway.handle` alone. Begin with `gateway`."""
