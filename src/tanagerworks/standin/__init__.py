"""Development stand-ins for the platform, model engines and order services."""
