"""Run the stand-in for the key-value service."""

from jasminewheel._internal.fakes.store import FakeStore, FakeStoreSettings
from jasminewheel.cli.stand_in import StandInCli

main = StandInCli(
    'jasminewheel-fake-store',
    'Stand in for the key-value service.',
    FakeStoreSettings,
    FakeStore,
).main
