import type { MessageInitShape } from "@bufbuild/protobuf";
import { createRouterTransport } from "@connectrpc/connect";
import test from "ava";
import { Clock, Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { PartitionedLogCore } from "../../../test/stand_ins/partitioned_log_core.ts";
import type {
  LoadTurnRequest,
  LoadTurnResponseSchema,
  StoreTurnResponseSchema,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { PeerRpcClients } from "../../membership/common/peer_client.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { OwnedSlices } from "./owned_slices.ts";
import type { SliceGroup } from "./slice_group.ts";
import { ChainLookupStatus, TurnClient } from "./turn_client.ts";

const ADDRESS = "here:1";
/** Peer that never responds. */
const LOST_PEER = "lost:1";
const GRANT = { programId: "p", turnId: "t", maxTokens: 5, budget: 50, retainMs: 60_000, partIds: [] };

interface IPeer {
  /** How long a refresh takes, in ms. */
  readonly refreshMs?: number;
  readonly load?: (req: LoadTurnRequest) => Promise<MessageInitShape<typeof LoadTurnResponseSchema>>;
  readonly store?: () => Promise<MessageInitShape<typeof StoreTurnResponseSchema>>;
  /** Owner of all slices, as the last refresh has shown it. */
  readonly ownerOf?: () => string;
}

/** Client whose slices are all owned by one peer; calls to begin a turn are never answered. */
function createClient(
  t: { readonly refreshes: number[] },
  { load, store, ownerOf = () => "peer:1", refreshMs = 0 }: IPeer = {},
): TurnClient {
  const logger = new NullLogger();
  const owned = new OwnedSlices({
    log: new PartitionedLogCore(),
    logger,
    instance: "here",
    address: ADDRESS,
    partitions: [{ topic: "slices-0", part: 0 }],
    newWriter: () => 1n,
    askRelease: () => Effect.succeed(undefined),
  });
  const group = {
    ownerOf,
    refresh: () =>
      Effect.andThen(
        Effect.map(Clock.currentTimeMillis, (now) => void t.refreshes.push(now)),
        refreshMs === 0 ? Effect.void : Effect.sleep(refreshMs),
      ),
  } as unknown as SliceGroup;
  const never = () => new Promise<never>(() => {});
  const transport = createRouterTransport((router) =>
    router.service(TurnService, { beginTurn: never, loadTurn: load ?? never, storeTurn: store ?? never })
  );
  const silent = createRouterTransport((router) => router.service(TurnService, { loadTurn: never }));
  const get = (address: string) => address === LOST_PEER ? silent : transport;
  const peers = new PeerRpcClients(TurnService, { get, reset: () => {} });
  return new TurnClient({ owned, group, peers, logger, address: ADDRESS });
}

/** Runs an effect under virtual time and returns its result and how long it took. */
function measure<T>(
  work: Effect.Effect<T>,
  onTick: () => void = () => {},
): Promise<{ result: T; tookMs: number }> {
  const measured = Effect.gen(function* () {
    const result = yield* work;
    return { result, tookMs: yield* Clock.currentTimeMillis };
  });
  const ticking = Effect.gen(function* () {
    const fiber = yield* Effect.forkChild(measured);
    for (let step = 0; step < 500; step++) {
      yield* TestClock.adjust(10);
      onTick();
      yield* Effect.promise(() => new Promise<void>((resolve) => setImmediate(resolve)));
    }
    return yield* Fiber.join(fiber);
  });
  return Effect.runPromise(Effect.provide(ticking, TestClock.layer()));
}

test("a turn whose owner does not respond is given up within the time limit", async (t) => {
  const client = createClient({ refreshes: [] });
  const { result, tookMs } = await measure(client.begin(GRANT, { timeoutMs: 650 }));
  t.is(result, undefined);
  t.true(tookMs <= 650, String(tookMs));
});

test("an owner that does not respond is looked up and called again within the time limit", async (t) => {
  const refreshes: number[] = [];
  await measure(createClient({ refreshes }).begin(GRANT, { timeoutMs: 1500 }));
  t.true(refreshes.length > 0 && refreshes[0] < 1000, String(refreshes));
});

test("a chain whose last turn is found late is given up within one time limit", async (t) => {
  const client = createClient({ refreshes: [] }, {
    load: async ({ turnId }) => {
      if (turnId !== "last") return await new Promise(() => {});
      await new Promise((resolve) => setImmediate(resolve));
      const ancestors = [{ turnId: "first", storedAtMs: 0 }];
      return { isOwner: true, turn: { turnId, ancestors, retainMs: 60_000 } };
    },
  });
  const late = Effect.andThen(Effect.sleep(200), client.load("last", { timeoutMs: 500 }));
  const { result, tookMs } = await measure(late);
  t.is(result.state, ChainLookupStatus.Unavailable);
  t.true(tookMs <= 700, String(tookMs));
});

// Guards against an owner that is slowed down by calls that are all given up before it responds.
test("a slow owner is given more time with each call", async (t) => {
  const waiting: { ticks: number; respond: () => void }[] = [];
  const client = createClient({ refreshes: [] }, {
    load: async ({ turnId }) => {
      await new Promise<void>((respond) => waiting.push({ ticks: 60, respond }));
      return { isOwner: true, turn: { turnId, retainMs: 60_000 } };
    },
  });
  const { result, tookMs } = await measure(client.load("t", { timeoutMs: 1500 }), () => {
    for (const call of waiting) if ((call.ticks -= 1) === 0) call.respond();
  });
  t.is(result.state, ChainLookupStatus.Found);
  t.true(tookMs < 1500, String(tookMs));
});

// Guards against a complete stream that is cut because the append of its turn is waited for too briefly.
test("a turn that its owner takes long to append is stored by one call", async (t) => {
  const waiting: { ticks: number; respond: () => void }[] = [];
  let calls = 0;
  const client = createClient({ refreshes: [] }, {
    store: async () => {
      calls += 1;
      await new Promise<void>((respond) => waiting.push({ ticks: 80, respond }));
      return { isOwner: true, isStored: true };
    },
  });
  const chain = { contents: [], refs: [], ended: [] };
  const turn = { programId: "p", turnId: "t", tokens: 1, chain, content: Buffer.from("c"), retainMs: 60_000 };
  const { result } = await measure(client.store(turn, { timeoutMs: 1000 }), () => {
    for (const call of waiting) if ((call.ticks -= 1) === 0) call.respond();
  });
  t.deepEqual([result, calls], [true, 1]);
});

test("a call to an owner that does not respond ends when another one is known", async (t) => {
  let owner = LOST_PEER;
  let ticks = 0;
  const client = createClient({ refreshes: [] }, {
    load: ({ turnId }) => Promise.resolve({ isOwner: true, turn: { turnId, retainMs: 60_000 } }),
    ownerOf: () => owner,
  });
  const { result, tookMs } = await measure(client.load("t", { timeoutMs: 1500 }), () => {
    if (++ticks === 60) owner = "peer:1";
  });
  t.is(result.state, ChainLookupStatus.Found);
  t.true(tookMs <= 1000, String(tookMs));
});

test("no call to an owner is made when the time is over", async (t) => {
  let calls = 0;
  const client = createClient({ refreshes: [] }, {
    load: () => {
      calls += 1;
      return Promise.resolve({ isOwner: false });
    },
    refreshMs: 10_000,
  });
  const { result } = await measure(client.load("t", { timeoutMs: 500 }));
  t.is(result.state, ChainLookupStatus.Unavailable);
  t.is(calls, 1);
});
