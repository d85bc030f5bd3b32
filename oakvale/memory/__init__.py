"""What is kept in memory: buffers, idle connections, requests in hand, backend names."""
