"""Router process: accepts callers' requests and relays them to backend servers."""
