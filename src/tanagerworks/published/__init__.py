"""What operators publish and backend servers register, as typed values and as a replica."""
