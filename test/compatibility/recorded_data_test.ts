/**
 * Reads stored data that an earlier build wrote: the partitions of two slices of a gateway, and a journal with
 * checkpoints. Guards against changes of names or formats that would lose histories, budgets or idempotency
 * keys in an upgrade.
 */
import { readFileSync } from "node:fs";
import test from "ava";
import { create, fromBinary } from "@bufbuild/protobuf";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import type { Batch } from "../../src/base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { BatchSchema, KeyState } from "../../src/base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { BeginTurnRequestSchema, TurnVerdict } from "../../src/base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { ViewTracker } from "../../src/membership/common/view.ts";
import { JournalState } from "../../src/program/common/journal_state.ts";
import { NullLogger } from "../../src/services/logging/common/logger.ts";
import { OwnedSlices } from "../../src/turns/common/owned_slices.ts";
import { PartitionedLogCore } from "../stand_ins/partitioned_log_core.ts";

interface IRecordedData {
  /** Records of a partition in base64, with and without a release at the end. */
  readonly slices: { readonly released: readonly string[]; readonly notReleased: readonly string[] };
  readonly journal: {
    readonly programs: { readonly program: string; readonly child: string; readonly ended: string };
    readonly key: string;
    readonly entries: readonly { readonly offset: number; readonly data: string }[];
  };
}

const FILE = new URL("../../../test/compatibility/recorded_data.json", import.meta.url);
const DATA = JSON.parse(readFileSync(FILE, "utf8")) as IRecordedData;
const PARTITION = { topic: "slices-0", part: 0 };
/** Figures of the recorded programs: each turn delivered its maximum; "half" had one turn, "spent" three. */
const MAX_TOKENS = 400;
const BUDGET = 1200;

/** Opens the recorded partition as the next owner; advances virtual time until the work is done. */
function withNextOwner<T>(
  records: readonly string[],
  work: (owned: OwnedSlices) => Effect.Effect<T>,
): Promise<T> {
  const log = new PartitionedLogCore();
  const opened = Effect.gen(function* () {
    yield* log.append(PARTITION, records.map((data) => Buffer.from(data, "base64")), 0);
    const owned = new OwnedSlices({
      log,
      logger: new NullLogger(),
      instance: "next",
      address: "next:1",
      askRelease: () => Effect.succeed(undefined),
      partitions: [PARTITION],
      newWriter: () => 78n,
    });
    yield* owned.assign(new Set([0]));
    return yield* work(owned);
  });
  const advanced = Effect.gen(function* () {
    const fiber = yield* Effect.forkChild(Effect.orDie(opened));
    for (let i = 0; i < 100; i++) yield* TestClock.adjust(50);
    return yield* Fiber.join(fiber);
  });
  return Effect.runPromise(Effect.provide(advanced, TestClock.layer()));
}

/** Begins further turns of a program until one is refused; returns how many were granted. */
function countGrants(owned: OwnedSlices, programId: string): Effect.Effect<number> {
  return Effect.gen(function* () {
    for (let granted = 0;; granted++) {
      const turnId = `${programId}-next-${granted}`;
      const request = { programId, turnId, maxTokens: MAX_TOKENS, budget: BUDGET, retainMs: 600_000 };
      const { verdict } = yield* owned.begin(create(BeginTurnRequestSchema, request));
      if (verdict !== TurnVerdict.GRANTED) return granted;
    }
  });
}

test("a released slice keeps budgets and turns", async (t) => {
  await withNextOwner(DATA.slices.released, (owned) =>
    Effect.gen(function* () {
      t.is(yield* countGrants(owned, "spent"), 0);
      t.is(yield* countGrants(owned, "half"), 2);
      for (const turnId of ["spent-1", "spent-2", "spent-3", "half-1"]) {
        const { turn } = yield* owned.load(turnId);
        t.is(Buffer.from(turn!.content).toString(), `content of ${turnId}`);
      }
    }));
});

test("a slice without a release never grants more than the budget", async (t) => {
  await withNextOwner(DATA.slices.notReleased, (owned) =>
    Effect.gen(function* () {
      t.is(yield* countGrants(owned, "spent"), 0);
      t.true((yield* countGrants(owned, "half")) <= 2);
      t.is(Buffer.from((yield* owned.load("spent-3")).turn!.content).toString(), "content of spent-3");
    }));
});

function replay(entries: IRecordedData["journal"]["entries"]): JournalState {
  const state = new JournalState(new ViewTracker());
  for (const { offset, data } of entries) state.applyBatch({ offset, batch: decode(data) });
  return state;
}

function decode(data: string): Batch {
  return fromBinary(BatchSchema, Buffer.from(data, "base64"));
}

/** Entries from the first repeated view on: what is left once the log has deleted the entries before. */
function fromCheckpoint(): IRecordedData["journal"]["entries"] {
  const { entries } = DATA.journal;
  return entries.slice(
    entries.findIndex(({ data }) =>
      decode(data).records.some(({ body }) => body.case === "view" && body.value.checkpoint)
    ),
  );
}

for (
  const [name, entries] of [["a recorded journal", DATA.journal.entries], [
    "its checkpoints",
    fromCheckpoint(),
  ]] as const
) {
  test(`programs, budgets and idempotency keys are restored from ${name}`, (t) => {
    const { programs: ids, key } = DATA.journal;
    const { programs, idempotencyKeys } = replay(entries);
    const program = programs.get(ids.program)!;
    t.is(program.turns.length, 2);
    t.is(program.ledger.spent.tokens, 6 + 4);
    t.is(programs.get(ids.child)!.turns.length, 1);
    t.true(programs.get(ids.ended)!.hasEnded);
    t.false(program.hasEnded);
    const entry = idempotencyKeys.get(`c/api/act/${key}`)!;
    t.is(entry.state, KeyState.DONE);
    t.is(entry.programId, ids.program);
    t.is(entry.turn!.step, 2);
  });
}
