"""Keys and certificates: loading, reload on change, rotation."""
