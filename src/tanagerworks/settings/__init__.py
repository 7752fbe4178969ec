"""YAML settings of each program, validated by a pydantic model before use."""
