"""Coordination for applications: locks with fencing tokens, rising numbers, small keys with revisions, and watches."""
