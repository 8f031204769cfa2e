"""Run the stand-in for the model engine."""

from jasminewheel._internal.fakes.engine import FakeEngine, FakeEngineSettings
from jasminewheel.cli.stand_in import StandInCli

main = StandInCli(
    'jasminewheel-fake-engine',
    'Stand in for the model engine.',
    FakeEngineSettings,
    FakeEngine,
).main
