import test from "ava";
import { create } from "@bufbuild/protobuf";
import { Effect, Fiber } from "effect";
import { LogCore } from "../../../../test/stand_ins/log_core.ts";
import type { Record } from "../../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { RecordSchema } from "../../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { Journal } from "./journal.ts";

function record(slice: number): Record {
  return create(RecordSchema, { slice });
}

function makeJournal(log: LogCore, instanceId: string, applied: number[]): Journal {
  return new Journal({
    log,
    writer: { instanceId, incarnation: "1" },
    apply: ({ batch }) => {
      applied.push(...batch.records.map(({ slice }) => slice));
      return batch.records.map(({ slice }) => slice !== 13);
    },
    appendIntervalMs: () => 0,
  });
}

test("an append whose response is lost takes effect once", async (t) => {
  const log = new LogCore();
  log.setFaults({ answersToLose: 1 });
  const applied: number[] = [];
  const work = Effect.gen(function* () {
    const journal = makeJournal(log, "a", applied);
    yield* journal.start();
    const receipts = yield* Effect.all([
      journal.append(record(1)).receipt,
      journal.append(record(13)).receipt,
    ]);
    t.deepEqual(receipts.map(({ accepted }) => accepted), [true, false]);
    yield* journal.append(record(2)).receipt;
  });
  await Effect.runPromise(Effect.scoped(work));
  t.deepEqual(applied, [1, 13, 2]);
});

test("readers ignore a duplicate batch", async (t) => {
  const log = new LogCore();
  const applied: number[] = [];
  const work = Effect.gen(function* () {
    const writer = makeJournal(log, "a", []);
    yield* writer.start();
    yield* writer.append(record(1)).receipt;
    const { entries } = yield* log.read("journal", { from: 0, limit: 1, waitMs: 0 });
    yield* log.append("journal", entries[0].data);
    const reader = makeJournal(log, "b", applied);
    yield* reader.start();
    yield* reader.caughtUp;
  });
  await Effect.runPromise(Effect.scoped(work));
  t.deepEqual(applied, [1]);
});

test("records built from the current state precede those queued earlier", async (t) => {
  const log = new LogCore();
  const applied: number[] = [];
  const work = Effect.gen(function* () {
    const journal = makeJournal(log, "a", applied);
    const queued = journal.append(record(2)).receipt;
    const built = journal.appendDeferred(() => [record(1)]);
    const both = yield* Effect.forkChild(Effect.all([queued, built], { concurrency: "unbounded" }));
    yield* Effect.yieldNow;
    yield* journal.start();
    yield* Fiber.join(both);
  });
  await Effect.runPromise(Effect.scoped(work));
  t.deepEqual(applied, [1, 2]);
});
