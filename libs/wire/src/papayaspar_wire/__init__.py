"""Message streams between processes."""
