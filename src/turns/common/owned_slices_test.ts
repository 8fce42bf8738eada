import test from "ava";
import { create } from "@bufbuild/protobuf";
import { Clock, Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { LogFault, PartitionedLogCore } from "../../../test/stand_ins/partitioned_log_core.ts";
import {
  BeginTurnRequestSchema,
  KeptTurnSchema,
  TurnVerdict,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { OwnedSlices } from "./owned_slices.ts";

let writers = 0n;

function ownedOf(log: PartitionedLogCore, instance: string): OwnedSlices {
  return new OwnedSlices({
    log,
    logger: new NullLogger(),
    instance,
    partitions: [0, 1, 2, 3].map((part) => ({ topic: "slices-0", part })),
    newWriter: () => ++writers,
  });
}

const ALL = new Set([0, 1, 2, 3]);
const NONE = new Set<number>();

function beginOf(turnId: string, budget = 2000) {
  return create(BeginTurnRequestSchema, { programId: "p", turnId, maxTokens: 500, budget, retainMs: 60_000 });
}

function run<T>(work: Effect.Effect<T>): Promise<T> {
  const ticking = Effect.gen(function* () {
    const fiber = yield* Effect.forkChild(work);
    for (let i = 0; i < 100; i++) yield* TestClock.adjust(50);
    return yield* Fiber.join(fiber);
  });
  return Effect.runPromise(Effect.provide(ticking, TestClock.layer()));
}

test("only the owner of a slice answers for it", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const [a, b] = [ownedOf(log, "a"), ownedOf(log, "b")];
    yield* a.assign(ALL);
    t.is((yield* a.begin(beginOf("1"))).verdict, TurnVerdict.GRANTED);
    t.is((yield* b.begin(beginOf("1"))).verdict, TurnVerdict.NOT_OWNER);
  }));
});

test("a hand-over loses nothing and charges nothing", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const [a, b] = [ownedOf(log, "a"), ownedOf(log, "b")];
    yield* a.assign(ALL);
    t.true((yield* a.begin(beginOf("1", 1100))).isFresh);
    yield* a.end({ $typeName: "ragwortcleat.v1.EndTurnRequest", programId: "p", turnId: "1", tokens: 100 });
    yield* a.store(create(KeptTurnSchema, { turnId: "k", content: Buffer.from("c"), retainMs: 60_000 }));
    yield* a.assign(NONE);
    yield* b.assign(ALL);
    t.is((yield* a.begin(beginOf("2"))).verdict, TurnVerdict.NOT_OWNER);
    t.is((yield* b.begin(beginOf("2", 1100))).verdict, TurnVerdict.GRANTED);
    t.is((yield* b.begin(beginOf("3", 1100))).verdict, TurnVerdict.GRANTED);
    t.is((yield* b.begin(beginOf("4", 1100))).verdict, TurnVerdict.SPENT);
    t.not((yield* b.load("k")).turn, undefined);
  }));
});

test("while the store is away a fresh program runs one turn, then is told at once to come back", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const owned = ownedOf(log, "a");
    yield* owned.assign(ALL);
    yield* Effect.sleep(500);
    log.fault = LogFault.Refuse;
    t.is((yield* owned.begin(beginOf("1", 9000))).verdict, TurnVerdict.GRANTED);
    yield* Effect.sleep(1000);
    let verdict = TurnVerdict.GRANTED;
    let turn = 2;
    while (verdict === TurnVerdict.GRANTED) {
      verdict = (yield* owned.begin(beginOf(`${turn++}`, 9000))).verdict;
    }
    t.is(verdict, TurnVerdict.NOT_RECORDED);
    const before = yield* Clock.currentTimeMillis;
    t.is((yield* owned.begin(beginOf("again", 9000))).verdict, TurnVerdict.NOT_RECORDED);
    t.true((yield* Clock.currentTimeMillis) - before <= 250);
    log.fault = LogFault.None;
    yield* Effect.sleep(500);
    t.is((yield* owned.begin(beginOf("after", 9000))).verdict, TurnVerdict.GRANTED);
  }));
});

test("a slice that another instance has claimed is given up", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const [a, b] = [ownedOf(log, "a"), ownedOf(log, "b")];
    yield* a.assign(ALL);
    yield* a.begin(beginOf("1"));
    yield* b.assign(ALL);
    yield* b.begin(beginOf("2"));
    const turn = create(KeptTurnSchema, { turnId: "p", content: Buffer.from("c"), retainMs: 60_000 });
    t.false(yield* a.store(turn));
    t.is((yield* a.begin(beginOf("3"))).verdict, TurnVerdict.NOT_OWNER);
  }));
});
