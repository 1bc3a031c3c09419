"""Runs ``aspenfold-plan`` against a stand-in of the store."""

import asyncio
import os
import sys

PROGRAM = (
    sys.executable,
    '-c',
    'from aspenfold.cli import plan; plan.main()',
)


async def run(port: int, *arguments: str) -> tuple[int, str, str]:
    """Run the program; return its exit status, stdout and stderr."""
    process = await asyncio.create_subprocess_exec(
        *PROGRAM,
        *arguments,
        f'--store=127.0.0.1:{port}',
        env=dict(os.environ),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate()
    return process.returncode or 0, out.decode(), err.decode()
