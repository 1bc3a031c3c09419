"""``make serve``: runs an example deployment for manual use."""

import pathlib
import signal
import sys
import tempfile

from aspenfold_standins import launcher

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main() -> int:
    """Start an example fleet, by default ``partitions``, until Ctrl-C."""
    fleet_name = sys.argv[1] if len(sys.argv) > 1 else 'partitions'
    with tempfile.TemporaryDirectory() as directory:
        deployment = launcher.Deployment(
            fleet_file=ROOT / 'examples' / f'{fleet_name}.json',
            directory=pathlib.Path(directory),
        )
        try:
            deployment.start()
            deployment.run_operator_command(
                'apply', str(deployment.fleet_file)
            )
            deployment.wait_for('all ranks', deployment.all_ranks_have_map)
            for entry in deployment.entry_names():
                print(f'ENTRY={deployment.processes[entry].url}')
            settings = deployment.write_operator_settings()
            print(f'export ASPENFOLD_SETTINGS={settings}')
            print('press Ctrl-C to stop', flush=True)
            signal.pause()
        except KeyboardInterrupt:
            return 0
        finally:
            deployment.stop()
    return 0


if __name__ == '__main__':
    sys.exit(main())
