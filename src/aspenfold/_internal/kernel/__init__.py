"""What every part of the kernel shares; nothing here does I/O."""
