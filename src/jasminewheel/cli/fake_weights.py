"""Run the stand-in for the weight store."""

from jasminewheel._internal.fakes.weights import (
    FakeWeights,
    FakeWeightsSettings,
)
from jasminewheel.cli.stand_in import StandInCli

main = StandInCli(
    'jasminewheel-fake-weights',
    'Stand in for the weight store.',
    FakeWeightsSettings,
    FakeWeights,
).main
