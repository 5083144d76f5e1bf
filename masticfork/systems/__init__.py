"""Decision logic over the in-memory tables; opens no sockets and reads no clock."""
