"""Command line of ``papayaspar-ctl``."""

from papayaspar_control import actions, settings
from papayaspar_settings import programs

PROGRAM = programs.Program(
    "papayaspar-ctl",
    "Operate papayaspar: rules, workers and jobs.",
    settings.ControlSettings,
    (actions.Rules, actions.Status, actions.Drain, actions.Retire, actions.Job),
)


def main() -> None:
    """Run the program."""
    programs.run(PROGRAM)
