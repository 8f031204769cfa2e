"""Run the stand-in for the tool service."""

from jasminewheel._internal.fakes.tool import FakeTool, FakeToolSettings
from jasminewheel.cli.stand_in import StandInCli

main = StandInCli(
    'jasminewheel-fake-tool',
    'Stand in for the tool service.',
    FakeToolSettings,
    FakeTool,
).main
