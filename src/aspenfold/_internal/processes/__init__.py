"""The programs' shells: they carry out what the kernels decide."""
