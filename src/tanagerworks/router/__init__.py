"""Router: caller port, request stages, streams to backend servers."""
