"""What is spoken on the wire: with clients, backends, the counter and discovery."""
