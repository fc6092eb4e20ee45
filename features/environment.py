"""Behave hooks: the seed of the run and the clean-up after each scenario."""

from __future__ import annotations

import pathlib
import random
import re

from verbenastream_testing import world


# Logs and ledgers of failed scenarios are copied here.
_FAILED_FOLDER = pathlib.Path('build/failed')


def before_all(context):
    """Read the seed from ``--define seed=N``.

    ``seed=random`` draws a seed and prints it.
    """
    seed = context.config.userdata.get('seed', '1')
    if seed == 'random':
        seed = str(random.SystemRandom().randrange(2**31))
        print(f'seed {seed}')
    context.seed = int(seed)


def before_scenario(context, scenario):
    context.random = random.Random(context.seed)
    # The second name is for the clean-up: a step may assign ``context.world``.
    context.opened_world = context.world = world.World()


def after_scenario(context, scenario):
    if scenario.status.has_failed():
        name = re.sub(r'[^a-z0-9]+', '-', scenario.name.lower())
        context.opened_world.copy_folder(_FAILED_FOLDER / name)
    context.opened_world.close()
