import test from "ava";
import { create } from "@bufbuild/protobuf";
import { Clock, Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { LogFault, PartitionedLogCore } from "../../../test/stand_ins/partitioned_log_core.ts";
import { SlowReadLog } from "../../../test/stand_ins/slow_read_log.ts";
import {
  BeginTurnRequestSchema,
  KeptTurnSchema,
  SliceStatus,
  TurnVerdict,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { IPartitionedLog } from "../../services/store/common/partitioned_log.ts";
import { StoreError, StoreFault } from "../../services/store/common/partitioned_log.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { OwnedSlices } from "./owned_slices.ts";
import { FAST_CALL_TIMEOUT_MS } from "./turn_client.ts";

let writers = 0n;

function createOwnedSlices(log: IPartitionedLog, instance: string, peers: OwnedSlices[] = []): OwnedSlices {
  return new OwnedSlices({
    log,
    logger: new NullLogger(),
    instance,
    address: instance,
    askRelease: (ownership) =>
      Effect.map(
        Effect.forEach(peers, (peer) => peer.handOver(ownership)),
        (all) => all.find((granted) => granted !== undefined),
      ),
    partitions: [0, 1, 2, 3].map((part) => ({ topic: "slices-0", part })),
    newWriter: () => ++writers,
  });
}

const ALL = new Set([0, 1, 2, 3]);
const NONE = new Set<number>();

function beginRequest(turnId: string, budget = 2000) {
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

test("only the owner of a slice grants turns", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const [a, b] = [createOwnedSlices(log, "a"), createOwnedSlices(log, "b")];
    yield* a.assign(ALL);
    t.is((yield* a.begin(beginRequest("1"))).verdict, TurnVerdict.GRANTED);
    t.is((yield* b.begin(beginRequest("1"))).verdict, TurnVerdict.NOT_OWNER);
  }));
});

test("a release and reassignment keeps spending and turns and charges no reservation", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const [a, b] = [createOwnedSlices(log, "a"), createOwnedSlices(log, "b")];
    yield* a.assign(ALL);
    t.true((yield* a.begin(beginRequest("1", 1100))).isFresh);
    yield* a.end({ $typeName: "ragwortcleat.v1.EndTurnRequest", programId: "p", turnId: "1", tokens: 100 });
    yield* a.store(create(KeptTurnSchema, { turnId: "k", content: Buffer.from("c"), retainMs: 60_000 }));
    yield* a.assign(NONE);
    yield* b.assign(ALL);
    t.is((yield* a.begin(beginRequest("2"))).verdict, TurnVerdict.NOT_OWNER);
    t.is((yield* b.begin(beginRequest("2", 1100))).verdict, TurnVerdict.GRANTED);
    t.is((yield* b.begin(beginRequest("3", 1100))).verdict, TurnVerdict.GRANTED);
    t.is((yield* b.begin(beginRequest("4", 1100))).verdict, TurnVerdict.SPENT);
    t.not((yield* b.load("k")).turn, undefined);
  }));
});

test("during a store outage a new program gets a share of its budget, then is refused quickly", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const owned = createOwnedSlices(log, "a");
    yield* owned.assign(ALL);
    yield* Effect.sleep(500);
    log.fault = LogFault.Refuse;
    t.is((yield* owned.begin(beginRequest("1", 9000))).verdict, TurnVerdict.GRANTED);
    yield* Effect.sleep(1000);
    let verdict = TurnVerdict.GRANTED;
    let turn = 2;
    while (verdict === TurnVerdict.GRANTED) {
      verdict = (yield* owned.begin(beginRequest(`${turn++}`, 9000))).verdict;
    }
    t.is(verdict, TurnVerdict.NOT_RECORDED);
    const startMs = yield* Clock.currentTimeMillis;
    t.is((yield* owned.begin(beginRequest("again", 9000))).verdict, TurnVerdict.NOT_RECORDED);
    t.true((yield* Clock.currentTimeMillis) - startMs <= 250);
    log.fault = LogFault.None;
    yield* Effect.sleep(500);
    t.is((yield* owned.begin(beginRequest("after", 9000))).verdict, TurnVerdict.GRANTED);
  }));
});

test("an instance stops serving a slice that another instance has claimed", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const [a, b] = [createOwnedSlices(log, "a"), createOwnedSlices(log, "b")];
    yield* a.assign(ALL);
    yield* a.begin(beginRequest("1"));
    yield* b.assign(ALL);
    yield* b.begin(beginRequest("2"));
    const turn = create(KeptTurnSchema, { turnId: "p", content: Buffer.from("c"), retainMs: 60_000 });
    t.false((yield* a.store(turn)).isStored);
    t.is((yield* a.begin(beginRequest("3"))).verdict, TurnVerdict.NOT_OWNER);
  }));
});

/** Wraps a log so that the appends of one instance can be refused. */
function withRefusableAppends(log: PartitionedLogCore): { log: IPartitionedLog; isRefusing: boolean } {
  const refusal = new StoreError(StoreFault.Refused, "refused");
  const self = {
    isRefusing: false,
    log: new Proxy<IPartitionedLog>(log, {
      get(target, name) {
        if (name === "append" && self.isRefusing) return () => Effect.fail(refusal);
        const member = Reflect.get(target, name) as unknown;
        return typeof member === "function" ? member.bind(target) : member;
      },
    }),
  };
  return self;
}

test("a live former owner hands a slice over even while the store refuses its appends", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const refused = withRefusableAppends(log);
    const a = createOwnedSlices(refused.log, "a");
    const b = createOwnedSlices(log, "b", [a]);
    yield* a.assign(ALL);
    yield* a.begin(beginRequest("1", 1700));
    const end = { programId: "p", turnId: "1", tokens: 100, home: undefined };
    yield* a.end({ $typeName: "ragwortcleat.v1.EndTurnRequest", ...end });
    yield* Effect.sleep(1000);
    refused.isRefusing = true;
    yield* a.begin(beginRequest("unrecorded", 1700));
    yield* a.end({ $typeName: "ragwortcleat.v1.EndTurnRequest", ...end, turnId: "unrecorded" });
    yield* b.assign(ALL);
    // No reservation is charged, because the former owner has responded.
    t.is((yield* b.begin(beginRequest("2", 1700))).verdict, TurnVerdict.GRANTED);
    t.is((yield* a.begin(beginRequest("3", 1700))).verdict, TurnVerdict.NOT_OWNER);
    t.is((yield* b.begin(beginRequest("4", 1700))).verdict, TurnVerdict.GRANTED);
    t.is((yield* b.begin(beginRequest("5", 1700))).verdict, TurnVerdict.GRANTED);
    // 200 tokens were delivered and three turns are running: turns granted without a record count too.
    t.is((yield* b.begin(beginRequest("6", 1700))).verdict, TurnVerdict.SPENT);
    yield* Effect.sleep(500);
    log.fault = LogFault.Refuse;
    const fresh = { ...beginRequest("7", 9000), programId: "q" };
    t.is((yield* b.begin(fresh)).verdict, TurnVerdict.GRANTED);
  }));
});

test("a former owner's spending records are applied when the response to the claim is lost", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const refused = withRefusableAppends(log);
    const a = createOwnedSlices(refused.log, "a");
    const b = createOwnedSlices(log, "b", [a]);
    yield* a.assign(ALL);
    yield* Effect.sleep(1000);
    refused.isRefusing = true;
    yield* a.begin(beginRequest("1", 1000));
    log.fault = LogFault.LoseAnswers;
    yield* b.assign(ALL);
    yield* Effect.sleep(100);
    log.fault = LogFault.None;
    yield* Effect.sleep(500);
    t.is((yield* b.begin(beginRequest("2", 1000))).verdict, TurnVerdict.GRANTED);
    t.is((yield* b.begin(beginRequest("3", 1000))).verdict, TurnVerdict.SPENT);
  }));
});

test("a slice whose former owner does not respond is claimed and counts as not released", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const [a, b] = [createOwnedSlices(log, "a"), createOwnedSlices(log, "b")];
    yield* a.assign(ALL);
    yield* Effect.sleep(1000);
    yield* b.assign(ALL);
    yield* Effect.sleep(500);
    log.fault = LogFault.Refuse;
    const fresh = { ...beginRequest("1", 9000), programId: "q" };
    t.is((yield* b.begin(fresh)).verdict, TurnVerdict.NOT_RECORDED);
  }));
});

test("a turn whose sender leaves while its grant is being recorded reserves nothing", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const owned = createOwnedSlices(log, "a");
    yield* owned.assign(ALL);
    yield* Effect.sleep(500);
    log.fault = LogFault.Refuse;
    // Two turns exceed what may be granted without a record, so that the second one waits for the store.
    t.is((yield* owned.begin(beginRequest("1", 1100))).verdict, TurnVerdict.GRANTED);
    const waiting = yield* Effect.forkChild(owned.begin(beginRequest("2", 1100)));
    yield* Effect.sleep(20);
    yield* Fiber.interrupt(waiting);
    log.fault = LogFault.None;
    yield* Effect.sleep(1000);
    t.is((yield* owned.begin(beginRequest("3", 1100))).verdict, TurnVerdict.GRANTED);
  }));
});

// Guards against slices that no instance opens while many instances start one after the other: each start reassigns slices, and the
// next owner can read a slice only when the former one has released it.
test("a slice whose records are still being read is released at once", async (t) => {
  const log = new SlowReadLog();
  await run(Effect.gen(function* () {
    const [a, b] = [createOwnedSlices(log, "a"), createOwnedSlices(log, "b")];
    yield* a.assign(ALL);
    yield* a.store(create(KeptTurnSchema, { turnId: "k", content: Buffer.from("c"), retainMs: 60_000 }));
    yield* a.assign(NONE);
    log.bytesPerMs = 0.02;
    yield* b.assign(ALL);
    yield* Effect.sleep(500);
    const revokedAtMs = yield* Clock.currentTimeMillis;
    yield* b.assign(NONE);
    t.is(yield* Clock.currentTimeMillis, revokedAtMs);
    yield* Effect.sleep(3000);
    log.bytesPerMs = Infinity;
    yield* a.assign(ALL);
    t.true((yield* a.load("k")).isOwner);
    t.true((yield* a.begin(beginRequest("1"))).isFresh);
  }));
});

// Guards against deliveries beyond budget plus one turn: the response to the first request is lost, and the turn ends at the owner
// when that request times out, while the second one still waits for the record.
test("a turn that is requested twice is not granted after its first request has timed out", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    yield* Effect.sleep(1);
    yield* createOwnedSlices(log, "a").assign(ALL);
    yield* Effect.sleep(1);
    const owner = createOwnedSlices(log, "b");
    yield* owner.assign(ALL);
    yield* owner.begin(beginRequest("0"));
    log.fault = LogFault.Delay;
    const first = yield* Effect.forkChild(owner.begin(beginRequest("1")));
    yield* Effect.sleep(950);
    const second = yield* Effect.forkChild(owner.begin(beginRequest("1")));
    yield* Effect.sleep(60);
    log.fault = LogFault.None;
    t.is((yield* Fiber.join(first)).verdict, TurnVerdict.NOT_RECORDED);
    t.is((yield* Fiber.join(second)).verdict, TurnVerdict.NOT_RECORDED);
  }));
});

test("the owner of an opening slice responds before the time limit of its callers", async (t) => {
  const log = new SlowReadLog();
  await run(Effect.gen(function* () {
    const [a, b] = [createOwnedSlices(log, "a"), createOwnedSlices(log, "b")];
    yield* a.assign(ALL);
    t.true((yield* a.load("k")).isOwner);
    yield* a.assign(NONE);
    log.bytesPerMs = 0.001;
    yield* b.assign(ALL);
    const askedAtMs = yield* Clock.currentTimeMillis;
    const { isOwner, sliceStatus } = yield* b.load("k");
    t.false(isOwner);
    t.is(sliceStatus, SliceStatus.OPENING);
    t.true((yield* Clock.currentTimeMillis) - askedAtMs < FAST_CALL_TIMEOUT_MS);
  }));
});
