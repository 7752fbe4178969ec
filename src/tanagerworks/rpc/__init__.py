"""gRPC messages between the processes of the system (generated code is committed)."""
