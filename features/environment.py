"""Hooks of behave: the seed and the clean-up of each scenario."""

from __future__ import annotations

import random

from verbenastream_testing import world


def before_all(context):
    """Read ``--define seed=N``; ``random`` draws one and prints it."""
    seed = context.config.userdata.get('seed', '1')
    if seed == 'random':
        seed = str(random.SystemRandom().randrange(2**31))
        print(f'seed {seed}')
    context.seed = int(seed)


def before_scenario(context, scenario):
    context.random = random.Random(context.seed)
    context.world = world.World()


def after_scenario(context, scenario):
    context.world.close()
