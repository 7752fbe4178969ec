"""Keys and certificates: loading, reloading after changes, rotation."""
