import test from "ava";
import { create, toBinary } from "@bufbuild/protobuf";
import { Effect, Exit, Fiber, Option, Scope } from "effect";
import { TestClock } from "effect/testing";
import { LogFault, PartitionedLogCore } from "../../../test/stand_ins/partitioned_log_core.ts";
import { SlowReadLog } from "../../../test/stand_ins/slow_read_log.ts";
import {
  KeptTurnSchema,
  SliceRecordSchema,
  TurnPieceSchema,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { SliceJournal, SliceJournalState } from "./slice_journal.ts";
import { GrantDecision } from "./spending_ledger.ts";

const PARTITION = { topic: "slices-0", part: 0 };

function createJournal(log: PartitionedLogCore, writer: bigint, former?: SliceJournal): SliceJournal {
  return new SliceJournal({
    slice: 0,
    partition: PARTITION,
    instance: `i${writer}`,
    address: `i${writer}:1`,
    askRelease: () => Effect.sync(() => former?.handOver(1)),
    writer,
    log,
    logger: new NullLogger(),
  });
}

function openJournal(
  log: PartitionedLogCore,
  writer: bigint,
  former?: SliceJournal,
): Effect.Effect<SliceJournal, never, Scope.Scope> {
  return Effect.gen(function* () {
    const journal = createJournal(log, writer, former);
    yield* journal.start();
    yield* journal.awaitOpen();
    return journal;
  });
}

function createTurn(turnId: string, content = "c") {
  return create(KeptTurnSchema, { turnId, content: Buffer.from(content), storedAtMs: 0, retainMs: 60_000 });
}

function grantRequest(turnId: string) {
  return { programId: "p", turnId, maxTokens: 500, budget: 2000, retainMs: 60_000 };
}

function run<T>(work: Effect.Effect<T, never, Scope.Scope>): Promise<T> {
  return Effect.runPromise(Effect.provide(Effect.scoped(work), TestClock.layer()));
}

/** Runs an effect while the clock advances by 2 s. */
function withAdvancingClock<T>(work: Effect.Effect<T>): Effect.Effect<T> {
  return Effect.gen(function* () {
    const fiber = yield* Effect.forkChild(work);
    for (let i = 0; i < 40; i++) yield* TestClock.adjust(50);
    return yield* Fiber.join(fiber);
  });
}

test("the next owner recovers a stored turn", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const first = yield* openJournal(log, 1n);
    t.true(yield* first.storeTurn(createTurn("a")));
    const second = yield* openJournal(log, 2n);
    t.is(Buffer.from(second.slice.turns.get("a")!.content).toString(), "c");
  }));
});

const GARBAGE = Buffer.from([0xff, 0xff, 0xff, 0xff, 0xff]);

/** Appends records after all others, as a writer does that does not know of the ownership. */
function appendForeign(log: PartitionedLogCore, records: readonly Uint8Array[]): Effect.Effect<unknown> {
  return Effect.orDie(
    Effect.flatMap(
      log.read(PARTITION, { from: 0, waitMs: 0 }),
      ({ end }) => log.append(PARTITION, records, end),
    ),
  );
}

test("a slice with records that cannot be read opens, with the turns of the others", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    yield* appendForeign(log, [GARBAGE]);
    const first = yield* openJournal(log, 1n);
    t.true(yield* first.storeTurn(createTurn("a")));
    yield* appendForeign(log, [GARBAGE]);
    t.false(yield* first.storeTurn(createTurn("b")));
    const second = yield* openJournal(log, 2n);
    t.is(second.state, SliceJournalState.Open);
    t.true(yield* second.storeTurn(createTurn("c")));
    t.true(second.slice.turns.has(createTurn("a")));
  }));
});

test("after records that cannot be read, a released ownership counts as one without a release", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    yield* TestClock.adjust(1);
    const first = yield* openJournal(log, 1n);
    yield* first.release();
    yield* appendForeign(log, [GARBAGE]);
    const second = yield* openJournal(log, 2n);
    t.true(second.slice.ledger.uncleanAtMs > 0);
  }));
});

test("pieces of turns that cannot be put together leave the slice usable", async (t) => {
  const log = new PartitionedLogCore();
  const pieceOf = (index: number, count: number) => {
    const value = create(TurnPieceSchema, { turnId: "a", index, count, data: GARBAGE });
    const record = create(SliceRecordSchema, { writer: 9n, event: { case: "piece", value } });
    return toBinary(SliceRecordSchema, record);
  };
  await run(Effect.gen(function* () {
    yield* appendForeign(log, [pieceOf(0, 1), pieceOf(4_000_000_000, 1), pieceOf(1, 2)]);
    const journal = yield* openJournal(log, 1n);
    t.true(yield* journal.storeTurn(createTurn("b")));
    t.is(journal.slice.turns.size, 1);
  }));
});

test("a journal that fails unexpectedly closes, so that its slice can be opened again", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const journal = yield* openJournal(log, 1n);
    // No record can hold a fraction of a token.
    journal.slice.ledger.begin({ ...grantRequest("a"), maxTokens: 0.5 }, 0);
    t.false(yield* journal.storeTurn(createTurn("b")));
    t.is(journal.state, SliceJournalState.Closed);
    const second = yield* openJournal(log, 2n);
    t.true(yield* second.storeTurn(createTurn("c")));
  }));
});

test("a former owner's appends fail", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const first = yield* openJournal(log, 1n);
    const second = yield* openJournal(log, 2n);
    t.false(yield* first.storeTurn(createTurn("a")));
    t.is(first.state, SliceJournalState.Closed);
    t.true(yield* second.storeTurn(createTurn("b")));
  }));
});

test("an append whose response was lost is not repeated", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const journal = yield* openJournal(log, 1n);
    log.fault = LogFault.LoseAnswers;
    t.true(yield* withAdvancingClock(journal.storeTurn(createTurn("a"))));
    log.fault = LogFault.None;
    t.true(yield* journal.storeTurn(createTurn("b")));
    const { records } = yield* Effect.orDie(log.read(PARTITION, { from: 0, waitMs: 0 }));
    t.is(records.length, 3);
  }));
});

test("an append that the store executes late does not duplicate its retry", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const journal = yield* openJournal(log, 1n);
    log.fault = LogFault.Delay;
    const stored = yield* Effect.forkChild(journal.storeTurn(createTurn("a")));
    yield* TestClock.adjust(50);
    log.fault = LogFault.None;
    yield* TestClock.adjust(1000);
    t.true(yield* Fiber.join(stored));
    log.applyDelayedAppends();
    const { records } = yield* Effect.orDie(log.read(PARTITION, { from: 0, waitMs: 0 }));
    t.is(records.length, 2);
  }));
});

test("an append is retried until a store outage ends", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const journal = yield* openJournal(log, 1n);
    log.fault = LogFault.Refuse;
    t.false(journal.isStalled);
    const stored = yield* Effect.forkChild(journal.storeTurn(createTurn("a")));
    yield* TestClock.adjust(5000);
    t.true(journal.isStalled);
    log.fault = LogFault.None;
    yield* TestClock.adjust(1000);
    t.true(yield* Fiber.join(stored));
    t.false(journal.isStalled);
  }));
});

test("the reservations of records are charged after a crash but not after a release", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const first = yield* openJournal(log, 1n);
    t.is(first.slice.ledger.begin(grantRequest("1"), 0), GrantDecision.Granted);
    t.true(yield* first.ensureProgramRecorded("p"));
    first.slice.ledger.end("p", { turnId: "1", tokens: 100 });
    yield* first.release();
    const second = yield* openJournal(log, 2n);
    t.is(second.slice.ledger.uncleanAtMs, 0);
    for (const turnId of ["2", "3", "4"]) {
      t.not(second.slice.ledger.begin(grantRequest(turnId), 0), GrantDecision.BudgetExhausted);
    }
    t.true(yield* second.ensureProgramRecorded("p"));
    second.close();
    const third = yield* openJournal(log, 3n);
    t.is(third.slice.ledger.begin(grantRequest("5"), 0), GrantDecision.BudgetExhausted);
  }));
});

test("a release requested while the journal opens is appended", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const first = createJournal(log, 1n);
    yield* first.start();
    yield* first.release();
    const second = yield* openJournal(log, 2n);
    t.is(second.slice.ledger.uncleanAtMs, 0);
  }));
});

test("a checkpoint keeps unexpired state and deletes earlier records", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const journal = yield* openJournal(log, 1n);
    yield* journal.storeTurn(createTurn("a"));
    yield* TestClock.adjust(130_000);
    const late = create(KeptTurnSchema, { ...createTurn("b"), storedAtMs: 130_000 });
    t.true(yield* journal.storeTurn(late));
    yield* TestClock.adjust(10);
    const oldest = yield* Effect.result(log.read(PARTITION, { from: 0, waitMs: 0 }));
    t.is(oldest._tag, "Failure");
    const second = yield* openJournal(log, 2n);
    t.is(second.slice.turns.get("a"), undefined);
    t.not(second.slice.turns.get("b"), undefined);
  }));
});

test("a turn too large for one record is recovered completely", async (t) => {
  const log = new PartitionedLogCore();
  const content = "x".repeat(700_000);
  await run(Effect.gen(function* () {
    const first = yield* openJournal(log, 1n);
    yield* first.storeTurn(createTurn("a", content));
    const second = yield* openJournal(log, 2n);
    t.is(second.slice.turns.get("a")!.content.length, content.length);
  }));
});

// Guards against deliveries beyond budget plus one turn: turns that wait for their record at a handover are begun again at the
// next owner, and that owner is lost before it has written a record.
test("a turn that waited for its record at the former owner waits for it at the next owner too", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    yield* TestClock.adjust(1);
    (yield* openJournal(log, 1n)).close();
    const second = yield* openJournal(log, 2n);
    const decisions = ["1", "2"].map((turnId) => second.slice.ledger.begin(grantRequest(turnId), 1));
    t.deepEqual(decisions, [GrantDecision.GrantedWhenRecorded, GrantDecision.GrantedWhenRecorded]);
    const third = yield* openJournal(log, 3n, second);
    t.is(second.state, SliceJournalState.Closed);
    for (const turnId of ["1", "2"]) {
      t.is(third.slice.ledger.begin(grantRequest(turnId), 1), GrantDecision.GrantedWhenRecorded);
    }
    t.true(yield* third.ensureProgramRecorded("p"));
    third.close();
    const fourth = yield* openJournal(log, 4n);
    const isGranted = (turnId: string) =>
      fourth.slice.ledger.begin(grantRequest(turnId), 1) !== GrantDecision.BudgetExhausted;
    t.deepEqual(["3", "4", "5"].map(isGranted), [true, true, false]);
  }));
});

const RECOVERY_TIMEOUT_MS = 30_000;

/** Stores turns in a slice, then opens it again over a log that is slow to read; returns the new owner's journal. */
function recoverSlowly(
  log: SlowReadLog,
  { turns, content, reads }: { turns: number; content: string; reads: Partial<SlowReadLog> },
): Effect.Effect<SliceJournal, never, Scope.Scope> {
  return Effect.gen(function* () {
    const first = yield* openJournal(log, 1n);
    for (let index = 0; index < turns; index++) yield* first.storeTurn(createTurn(`t${index}`, content));
    first.close();
    Object.assign(log, reads);
    const second = createJournal(log, 2n);
    yield* second.start();
    yield* TestClock.adjust(RECOVERY_TIMEOUT_MS);
    return second;
  });
}

test("a slice is recovered although some pages of each pass over its records fail", async (t) => {
  const log = new SlowReadLog();
  await run(Effect.gen(function* () {
    const reads = { pageBytes: 500, isReadFailing: (read: number) => read % 4 === 0 };
    const journal = yield* recoverSlowly(log, { turns: 20, content: "x".repeat(300), reads });
    t.is(journal.state, SliceJournalState.Open);
    t.is([...journal.slice.turns.values()].length, 20);
  }));
});

test("a slice is recovered although whole pages do not arrive within the time limit of a call", async (t) => {
  const log = new SlowReadLog();
  await run(Effect.gen(function* () {
    // A fair share of the store's bandwidth when a hundred slices are read at once.
    const reads = { bytesPerMs: 800, timeoutMs: 1000 };
    const journal = yield* recoverSlowly(log, { turns: 20, content: "x".repeat(150_000), reads });
    t.is(journal.state, SliceJournalState.Open);
    t.is([...journal.slice.turns.values()].length, 20);
  }));
});

test("a page without records before the end of the partition is not read again at once", async (t) => {
  const log = new SlowReadLog();
  await run(Effect.gen(function* () {
    const first = yield* openJournal(log, 1n);
    first.close();
    const readsBefore = log.reads;
    log.isReadEmpty = (read) => read < readsBefore + 50;
    const second = createJournal(log, 2n);
    yield* second.start();
    yield* TestClock.adjust(100);
    t.is(log.reads, readsBefore + 1);
    yield* TestClock.adjust(RECOVERY_TIMEOUT_MS);
    t.is(second.state, SliceJournalState.Open);
  }));
});

test("turns granted before the former owner's late release are not counted as uncertain", async (t) => {
  const log = new SlowReadLog();
  await run(Effect.gen(function* () {
    yield* TestClock.adjust(1);
    const former = yield* openJournal(log, 1n);
    log.fault = LogFault.Delay;
    const next = createJournal(log, 2n);
    yield* next.start();
    yield* TestClock.adjust(10);
    log.fault = LogFault.None;
    yield* former.release();
    log.applyDelayedAppends();
    yield* TestClock.adjust(1000);
    t.is(next.state, SliceJournalState.Open);
    t.is(next.slice.ledger.uncleanAtMs, 0);
  }));
});

test("a slice opens although the first piece of a turn has expired", async (t) => {
  const log = new PartitionedLogCore();
  await run(Effect.gen(function* () {
    const first = yield* openJournal(log, 1n);
    yield* first.storeTurn(createTurn("a", "x".repeat(700_000)));
    yield* first.storeTurn(createTurn("b"));
    const claimAndFirstPiece = 2;
    yield* log.trim(PARTITION, claimAndFirstPiece);
    const second = createJournal(log, 2n);
    yield* second.start();
    yield* TestClock.adjust(1000);
    t.is(second.state, SliceJournalState.Open);
    t.is(second.slice.turns.get("a"), undefined);
    t.not(second.slice.turns.get("b"), undefined);
  }));
});

/** Log whose appends take 1.5 s. */
class SlowAppendLog extends PartitionedLogCore {
  isSlow = false;

  override append(...args: Parameters<PartitionedLogCore["append"]>) {
    const append = Effect.suspend(() => super.append(...args));
    return this.isSlow ? Effect.delay(append, 1500) : append;
  }
}

// Guards against a store of a turn that waits for its whole time limit although the slice has moved.
test("an append that is under way when the ownership ends completes as not appended", async (t) => {
  const log = new SlowAppendLog();
  await run(Effect.gen(function* () {
    const scope = yield* Scope.make();
    const journal = yield* Scope.provide(openJournal(log, 1n), scope);
    log.isSlow = true;
    const storing = yield* Effect.forkChild(Effect.timeoutOption(journal.storeTurn(createTurn("a")), 1000));
    yield* TestClock.adjust(100);
    journal.handOver(1);
    yield* Scope.close(scope, Exit.void);
    yield* TestClock.adjust(1000);
    const stored = yield* Fiber.join(storing);
    t.deepEqual(Option.getOrUndefined(stored), false);
  }));
});

test("a turn that is stored again while its append is under way is appended once", async (t) => {
  const log = new SlowAppendLog();
  await run(Effect.gen(function* () {
    const journal = yield* openJournal(log, 1n);
    log.isSlow = true;
    log.appends = 0;
    const store = Effect.forkChild(journal.storeTurn(createTurn("a")));
    const first = yield* store;
    yield* TestClock.adjust(100);
    const second = yield* store;
    for (let i = 0; i < 80; i++) yield* TestClock.adjust(50);
    t.deepEqual([yield* Fiber.join(first), yield* Fiber.join(second), log.appends], [true, true, 1]);
  }));
});

// Guards against a slice that stays closed for good behind a record that only another writer can have written.
test("a record of the largest size is read after reads without a response have made the pages smaller", async (t) => {
  const log = new SlowReadLog();
  log.isStrict = true;
  log.isReadFailing = (read) => read < 3;
  await run(Effect.gen(function* () {
    yield* Effect.orDie(log.append(PARTITION, [Buffer.alloc(256 * 1024, 0xff)], 0));
    const journal = createJournal(log, 1n);
    yield* journal.start();
    const isOpen = yield* withAdvancingClock(Effect.timeoutOption(journal.awaitOpen(), 1900));
    t.deepEqual(isOpen, Option.some(true));
  }));
});
