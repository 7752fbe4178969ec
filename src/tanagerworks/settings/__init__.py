"""YAML settings of each program, checked by a model before use."""
