/** Measures the costs of single components in this process, at several sizes. */
import process from "node:process";
import { create, toBinary } from "@bufbuild/protobuf";
import type { Member, Record } from "../../src/base/common/gen/ragwortcleat/v1/journal_pb.ts";
import {
  BatchSchema,
  KeyState,
  MemberSchema,
  MemberState,
  RecordSchema,
  TurnCompletedSchema,
  ViewRecordSchema,
} from "../../src/base/common/gen/ragwortcleat/v1/journal_pb.ts";
import {
  BudgetSchema,
  CallKind,
  ProgramSpecSchema,
  TurnSchema,
  TurnStatus,
} from "../../src/base/common/gen/ragwortcleat/v1/common_pb.ts";
import { HeartbeatRequestSchema } from "../../src/base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { encodeMessages, encodeModelResponse } from "../../src/call/common/turn_content.ts";
import { makeNextView, View, ViewTracker } from "../../src/membership/common/view.ts";
import { parseConfiguration } from "../../src/services/settings/common/validation.ts";
import { Journal } from "../../src/services/journal/common/journal.ts";
import { IdempotencyKeyTable } from "../../src/program/common/idempotency_key_table.ts";
import { JournalState } from "../../src/program/common/journal_state.ts";
import { ProgramStore } from "../../src/program/common/program_store.ts";
import { ExpectedFinishChooser } from "../../src/routing/common/engine_chooser.ts";
import { EngineState } from "../../src/routing/common/engine_state.ts";
import { TEST_CONFIGURATION } from "../../test/harness/configuration.ts";
import { DEFAULT_ENGINE, EngineCore } from "../../test/stand_ins/engine_core.ts";
import { Effect } from "effect";
import type { ISlope } from "./linear_fit.ts";
import { fitSlope } from "./linear_fit.ts";

const MICROS_PER_MS = 1000;
const ROUNDS = 5;
/** Sizes of a turn's texts: a request of 300 tokens and an answer of 80. */
const REQUEST_CHARS = 1200;
const ANSWER_CHARS = 320;
/** Request and response headers of the two requests of a poll. */
const POLL_HEADER_BYTES = 2 * 280;

/** Heap and array buffers that the result of `make` occupies, in bytes. */
function retainedBytes(make: () => unknown): number {
  globalThis.gc!();
  const before = process.memoryUsage();
  const result = make();
  globalThis.gc!();
  const after = process.memoryUsage();
  const bytes = after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers;
  // Referenced after the second collection, so that it does not free the result.
  return result === undefined ? 0 : bytes;
}

/** Shortest time of ROUNDS runs, in microseconds. */
function minMicros(run: () => void): number {
  let best = Infinity;
  for (let round = 0; round < ROUNDS; round++) {
    const startedAt = performance.now();
    run();
    best = Math.min(best, (performance.now() - startedAt) * MICROS_PER_MS);
  }
  return best;
}

function makeMember(index: number): Member {
  const address = `10.0.${index >> 8}.${index & 255}:7101`;
  return create(MemberSchema, {
    instanceId: `entry-${index}`,
    incarnation: "0123456789abcdef",
    zone: `zone-${index % 11}`,
    peerAddress: address,
    callerAddress: address,
    state: MemberState.ACTIVE,
  });
}

function makeMembers(count: number): Member[] {
  return Array.from({ length: count }, (_, index) => makeMember(index));
}

function fillPrograms(store: ProgramStore, opts: { programs: number; turns: number }): ProgramStore {
  for (let index = 0; index < opts.programs; index++) {
    const programId = `region-${index.toString(16).padStart(16, "0")}`;
    const budget = create(BudgetSchema, { generatedTokens: 1000 });
    const spec = create(ProgramSpecSchema, {
      programId,
      customer: `customer-${index % 6500}`,
      kind: "quick",
      budget,
    });
    store.open(spec, []);
    for (let step = 1; step <= opts.turns; step++) store.addTurn(programId, makeTurn(step));
  }
  return store;
}

function makeTurn(step: number) {
  return create(TurnSchema, {
    step,
    kind: CallKind.MODEL,
    target: "m",
    request: encodeMessages([{ role: "user", content: `${step}${"x".repeat(REQUEST_CHARS)}` }] as never),
    answer: encodeModelResponse({
      content: "y".repeat(ANSWER_CHARS),
      promptTokens: 300,
      cachedTokens: 0,
      generatedTokens: 80,
    }),
    status: TurnStatus.SUCCEEDED,
    generatedTokens: 80,
    historyTokens: 380,
    backendId: "engine-1",
    fingerprint: 123456789n,
  });
}

function makeTurnRecord(step: number): Record {
  const value = create(TurnCompletedSchema, { programId: "region-0123456789abcdef", turn: makeTurn(step) });
  return create(RecordSchema, { slice: 3, epoch: 1, body: { case: "turn", value } });
}

function makeEngines(count: number): EngineState[] {
  return Array.from({ length: count }, (_, index) => {
    const client = new EngineCore({ ...DEFAULT_ENGINE, id: `e${index}`, models: ["m"] });
    const engine = new EngineState({ id: `e${index}`, zone: "", address: "", client });
    engine.applyLoadReport(Effect.runSync(client.getLoadReport()), 0);
    return engine;
  });
}

function makeConfigurationText(customers: number): string {
  const customerSettings = Object.fromEntries(
    Array.from({ length: customers }, (_, index) => [`customer-${index}`, { weight: 1 }]),
  );
  return JSON.stringify({ ...TEST_CONFIGURATION, customers: customerSettings });
}

function measureAt(
  sizes: readonly number[],
  measure: (size: number) => number,
): { sizes: readonly number[]; values: number[] } {
  return { sizes, values: sizes.map(measure) };
}

export function measureComponents(): ISlope[] {
  const itemCounts = [2000, 4000, 8000, 16_000];
  const memberCounts = [12, 50, 100, 200, 400];
  const choiceInput = {
    programId: "p",
    model: "m",
    promptTokens: 1000,
    expectedAnswerTokens: 80,
    isFirstCall: false,
    excluded: new Set<string>(),
  };
  const preset = parseConfiguration(JSON.stringify(TEST_CONFIGURATION), "bench").presets.ordinary;
  return [
    fitSlope("heap per program", {
      unit: "bytes per program",
      ...measureAt(
        itemCounts,
        (programs) => retainedBytes(() => fillPrograms(new ProgramStore(), { programs, turns: 0 })),
      ),
    }),
    fitSlope("heap per turn", {
      unit: "bytes per turn of 380 tokens",
      ...measureAt(
        [5000, 10_000, 20_000],
        (turns) => retainedBytes(() => fillPrograms(new ProgramStore(), { programs: turns / 10, turns: 10 })),
      ),
    }),
    fitSlope("heap per key", {
      unit: "bytes per idempotency key",
      ...measureAt(itemCounts, (count) =>
        retainedBytes(() => {
          const keys = new IdempotencyKeyTable();
          for (let index = 0; index < count; index++) {
            keys.restore({
              key: `customer/service/operation/program-${index}#1`,
              state: KeyState.DONE,
              programId: `program-${index}`,
              step: 1,
              fingerprint: 1n,
              turn: undefined,
              recordedAtMs: 0,
            } as never);
          }
          return keys;
        })),
    }),
    fitSlope("heap per engine", {
      unit: "bytes per engine",
      ...measureAt(
        [200, 400, 800, 1600],
        (count) =>
          retainedBytes(() =>
            makeEngines(count).map((engine) => Object.assign(engine, { client: undefined }))
          ),
      ),
    }),
    fitSlope("load report", {
      unit: "bytes per engine and poll, headers included",
      ...measureAt(
        [1, 10, 100],
        (count) =>
          makeEngines(count).reduce(
            (sum, { loadReport }) => sum + JSON.stringify(loadReport).length + POLL_HEADER_BYTES,
            0,
          ),
      ),
    }),
    fitSlope("choice of an engine", {
      unit: "µs per engine considered",
      ...measureAt([10, 50, 100, 400, 1000], (count) => {
        const engines = makeEngines(count);
        const chooser = new ExpectedFinishChooser(() => preset);
        return minMicros(() => {
          for (let round = 0; round < 50; round++) chooser.choose(choiceInput, engines);
        }) / 50;
      }),
    }),
    fitSlope("view record", {
      unit: "bytes per member",
      ...measureAt(
        memberCounts,
        (count) => toBinary(ViewRecordSchema, makeNextView(undefined, makeMembers(count))).length,
      ),
    }),
    fitSlope("view change", {
      unit: "µs per member",
      ...measureAt(memberCounts, (count) => {
        const before = new View(makeNextView(undefined, makeMembers(count)));
        return minMicros(() => new ViewTracker().apply(makeNextView(before, makeMembers(count - 1))));
      }),
    }),
    fitSlope("heartbeat", {
      unit: "bytes per heartbeat sent",
      ...measureAt(
        [1, 2, 4, 8],
        (count) =>
          count *
          toBinary(
            HeartbeatRequestSchema,
            create(HeartbeatRequestSchema, {
              member: makeMember(1),
              viewNumber: 1000,
              configurationVersion: 1e6,
              logReachable: true,
            }),
          ).length,
      ),
    }),
    fitSlope("configuration", {
      unit: "bytes per customer",
      ...measureAt([10, 100, 1000, 6500], (count) => makeConfigurationText(count).length),
    }),
    fitSlope("configuration change", {
      unit: "µs per customer",
      ...measureAt([10, 100, 1000, 6500], (count) => {
        const text = makeConfigurationText(count);
        return minMicros(() => void parseConfiguration(text, "bench"));
      }),
    }),
    fitSlope("journal batch", {
      unit: "bytes per turn record",
      ...measureAt([1, 10, 50, 100], (count) => {
        const records = Array.from({ length: count }, (_, index) => makeTurnRecord(index + 1));
        return toBinary(
          BatchSchema,
          create(BatchSchema, { writer: "entry-1", incarnation: "0123456789abcdef", sequence: 1, records }),
        ).length;
      }),
    }),
    fitSlope("journal read", {
      unit: "µs per turn record",
      ...measureAt([50, 100, 200, 400], applyBatchMicros),
    }),
  ];
}

/** Time to decode and apply a batch of turn records of programs that other instances own, in microseconds. */
function applyBatchMicros(count: number): number {
  const records = Array.from({ length: count }, (_, index) => makeTurnRecord(index + 1));
  const data = toBinary(
    BatchSchema,
    create(BatchSchema, { writer: "entry-1", incarnation: "i", sequence: 1, records }),
  );
  return minMicros(() => {
    const views = new ViewTracker();
    views.apply(makeNextView(undefined, [create(MemberSchema, { ...makeMember(1), incarnation: "i" })]));
    const state = new JournalState(views);
    const journal = new Journal({
      log: undefined as never,
      writer: { instanceId: "other", incarnation: "o" },
      apply: (batch) => state.applyBatch(batch),
      appendIntervalMs: () => 0,
    });
    journal.applyEntry({ offset: 1, data });
  });
}
