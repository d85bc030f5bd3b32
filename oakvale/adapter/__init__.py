"""The simulator's wire: decoding, encoding and hosting instances. No decisions live here."""
