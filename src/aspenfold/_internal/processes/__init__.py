"""The processes of the programs: they connect the kernels to I/O."""
