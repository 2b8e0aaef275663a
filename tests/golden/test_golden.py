"""Data of version 0.3.0 is decoded, and encoded to the same bytes: versions run side by side in a rolling update."""

import json
import pathlib
import shutil

import pytest

from pearhill.budgets.charges import decode_charge, rebuild
from pearhill.durable.recovery import read_frames, recover
from pearhill.lifecycle.takeover_message import decode
from pearhill.membership.aggregation_messages import AggregationCodec
from pearhill.membership.gossip_messages import GossipCodec
from tests.golden import samples
from tests.golden.samples import AGGREGATION, CHARGES, FILES, GOSSIP, KEY, NOW, SAMPLES, SECOND, TAKEOVER_MESSAGES, WALL


@pytest.mark.parametrize("name", SAMPLES)
def test_samples_encode_to_the_stored_bytes(name):
    assert SAMPLES[name]() == (FILES / name).read_bytes()


def test_every_file_has_a_sample():
    files = {path.relative_to(FILES).as_posix() for path in FILES.rglob("*") if path.is_file()}
    assert files == {*SAMPLES, "balances.json"}


@pytest.mark.parametrize("name", GOSSIP)
def test_gossip_messages_are_decoded(name):
    message = GOSSIP[name]
    assert GossipCodec(KEY).unpack((FILES / f"gossip-{name}.bin").read_bytes(), message.payload.to) == message


@pytest.mark.parametrize("name", AGGREGATION)
def test_aggregation_messages_are_decoded(name):
    message = AGGREGATION[name]
    assert AggregationCodec(KEY).unpack((FILES / f"aggregation-{name}.bin").read_bytes(), message.to) == message


@pytest.mark.parametrize("name", TAKEOVER_MESSAGES)
def test_takeover_messages_are_decoded(name):
    assert decode((FILES / f"{name}.txt").read_bytes(), "n1") == TAKEOVER_MESSAGES[name]


def test_charges_are_decoded():
    assert [decode_charge((FILES / f"charge-{n}.bin").read_bytes()) for n in range(len(CHARGES))] == list(CHARGES)


def test_a_journal_with_a_snapshot_and_a_torn_tail_is_recovered(tmp_path: pathlib.Path):
    folder = tmp_path / "journal"
    shutil.copytree(FILES / "journal", folder)
    recovered = recover(folder)
    assert (recovered.seq, recovered.state_seq, recovered.torn_bytes, len(recovered.frames)) == (6, 2, 25, 4)
    assert [decode_charge(frame.body) for frame in read_frames(folder)] == list(CHARGES)
    budgets = samples.new_budgets()
    assert rebuild(budgets, recovered.state, [frame.body for frame in recovered.frames], NOW + 9 * SECOND) == 4
    balances = {name: budgets.balance(NOW + 9 * SECOND, WALL + 9, name) for name in ("ada", "bob")}
    assert balances == json.loads((FILES / "balances.json").read_text())
