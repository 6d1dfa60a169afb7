"""Command line: `python -m standins store --listen 127.0.0.1:9000`."""

from gevent import monkey

monkey.patch_all()

import click  # noqa: E402

from standins import application  # noqa: E402
from standins import edge_engine  # noqa: E402
from standins import engine  # noqa: E402
from standins import link  # noqa: E402
from standins import roster  # noqa: E402
from standins import store  # noqa: E402


@click.group()
def main():
    """Run a stand-in for one of the systems around galenaspoke."""


main.add_command(application.main, 'application')
main.add_command(edge_engine.main, 'edge-engine')
main.add_command(engine.main, 'engine')
main.add_command(link.main, 'link')
main.add_command(roster.main, 'roster')
main.add_command(store.main, 'store')

if __name__ == '__main__':
    main()
