import test from "ava";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { LogFault, PartitionedLogCore } from "../../../test/stand_ins/partitioned_log_core.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { OwnedSlices } from "./owned_slices.ts";
import type { IOwnerTable } from "./slice_group.ts";
import { SliceGroup } from "./slice_group.ts";

/** Creates the group of an instance with one slice, whose peers all know the table that `peerTable` returns. */
function createGroup(log: PartitionedLogCore, peerTable: () => IOwnerTable): SliceGroup {
  const shared = { log, logger: new NullLogger(), address: "own:1" };
  const partitions = [{ topic: "slices-0", part: 0 }];
  const askRelease = () => Effect.succeed(undefined);
  const owned = new OwnedSlices({ ...shared, instance: "own", partitions, askRelease, newWriter: () => 1n });
  return new SliceGroup({ ...shared, partitions, owned, askPeer: () => Effect.sync(peerTable) });
}

function run<T>(work: Effect.Effect<T>): Promise<T> {
  const ticking = Effect.gen(function* () {
    const fiber = yield* Effect.forkChild(work);
    for (let i = 0; i < 100; i++) yield* TestClock.adjust(50);
    return yield* Fiber.join(fiber);
  });
  return Effect.runPromise(Effect.provide(ticking, TestClock.layer()));
}

// Guards against calls to a former owner for as long as the store refuses an instance.
test("an instance that the store refuses learns of a slice that moves within a generation", async (t) => {
  const log = new PartitionedLogCore();
  log.fault = LogFault.Refuse;
  let peerTable = { generation: 3, addresses: ["former:1"] };
  const group = createGroup(log, () => peerTable);
  await run(Effect.scoped(Effect.gen(function* () {
    yield* group.start();
    yield* group.refresh();
    group.updateIfNewer(peerTable);
    t.is(group.ownerOf(0), "former:1");
    peerTable = { generation: 3, addresses: ["next:1"] };
    yield* group.refresh();
    t.is(group.ownerOf(0), "next:1");
    peerTable = { generation: 2, addresses: ["former:1"] };
    yield* group.refresh();
    t.is(group.ownerOf(0), "next:1");
  })));
});

test("owners that were read from the store are not replaced by a peer's table of the same generation", async (t) => {
  const log = new PartitionedLogCore();
  const group = createGroup(log, () => ({ generation: 0, addresses: [] }));
  await run(Effect.scoped(Effect.gen(function* () {
    yield* group.start();
    yield* Effect.sleep(1000);
    t.is(group.ownerOf(0), "own:1");
    const { generation } = group.table;
    group.updateIfNewer({ generation, addresses: ["former:1"] });
    t.is(group.ownerOf(0), "own:1");
    group.updateIfNewer({ generation: generation + 1, addresses: ["next:1"] });
    t.is(group.ownerOf(0), "next:1");
  })));
});
