/**
 * After all instances have lost power, turns that continue stored ones are served within seconds through any instance. A turn
 * that cannot be served is refused as not run, while its caller has time for another try.
 */
import test from "ava";
import { Effect } from "effect";
import type { IPartitionReadOptions } from "../../src/services/store/common/partitioned_log.ts";
import type { IOwnerWait } from "../../src/turns/common/owner_waits.ts";
import { CallerKind, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import type { IPartitionedLog } from "../../src/services/store/common/partitioned_log.ts";
import { StoreError, StoreFault } from "../../src/services/store/common/partitioned_log.ts";
import { SeededRandom } from "../demo/random.ts";
import { CrashForm, RestartForm } from "../stand_ins/backend_fleet.ts";

const OPTIONS = { instances: 4, crashForm: CrashForm.BeforeHead, restartForm: RestartForm.SameId };
/** What callers of earlier tries had left, and the whole time of a turn. */
const DEADLINES_MS = [300, 1309, 3000];
const CONTINUED = { previousTurn: "t0", prefix: "first" };

interface IAnswer {
  readonly status: number;
  readonly afterMs: number;
  readonly retryAfterMs: number;
}

interface ITurn {
  readonly id: string;
  readonly program: string;
  readonly previousTurn?: string | undefined;
  readonly deadlineMs?: number;
}

/** Sends a turn through an instance; `onAnswer` is called with its answer. */
function sendTurn(
  cluster: GatewayCluster,
  name: string,
  { turn, onAnswer }: { turn: ITurn; onAnswer: (answer: IAnswer) => void },
): Effect.Effect<unknown> {
  const sentAtMs = cluster.nowMs;
  const { id, program, previousTurn, deadlineMs = 3000 } = turn;
  const sending = cluster.send(name, {
    route: RoutePath.KeptTurn,
    caller: CallerKind.Program,
    name: `${id}/`,
    callerId: program,
    id,
    body: "x",
    previousTurn,
    deadlineMs,
  });
  return Effect.forkDetach(Effect.map(sending, ({ status, headers, isEnded }) => {
    const retryAfter = headers[headers.indexOf("retry-after") + 1];
    const retryAfterMs = headers.includes("retry-after") ? Number(retryAfter) * 1000 : 0;
    onAnswer({ status: isEnded ? status : 0, afterMs: cluster.nowMs - sentAtMs, retryAfterMs });
  }));
}

/** Stores a first turn through the first instance. */
function storeTurn(cluster: GatewayCluster, id: string): Effect.Effect<void> {
  return Effect.gen(function* () {
    let status = 0;
    const turn = { id, program: id };
    yield* sendTurn(cluster, cluster.names[0], { turn, onAnswer: (answer) => status = answer.status });
    yield* cluster.advance(2000);
    if (status !== 200) throw new Error(`the first turn was answered with ${status}`);
  });
}

/** Continues a stored turn through each instance with each deadline; returns all answers and those that came too late. */
function continueEverywhere(
  cluster: GatewayCluster,
  { previousTurn, prefix }: { previousTurn: string; prefix: string },
) {
  return Effect.gen(function* () {
    const answers: IAnswer[] = [];
    const late: string[] = [];
    for (const deadlineMs of DEADLINES_MS) {
      for (const name of cluster.names) {
        const turn = {
          id: `${prefix}-${name}-${deadlineMs}`,
          program: previousTurn,
          previousTurn,
          deadlineMs,
        };
        yield* sendTurn(cluster, name, {
          turn,
          onAnswer: (answer) => {
            answers.push(answer);
            const { status, afterMs, retryAfterMs } = answer;
            const isInTime = afterMs + retryAfterMs < deadlineMs * 0.9;
            const hasRun = cluster.runsOf(`${turn.id}/`) > 0;
            if (status !== 200 && !hasRun && !isInTime) {
              late.push(`${name} ${deadlineMs}: ${JSON.stringify(answer)}`);
            }
          },
        });
      }
      yield* cluster.advance(5000);
    }
    return { answers, late };
  });
}

// Guards against the form of an incident in which turns were not refused but waited until their callers had left.
test("a turn whose owner does not respond is refused while its caller can try again", async (t) => {
  await GatewayCluster.run(OPTIONS, (cluster) =>
    Effect.gen(function* () {
      yield* storeTurn(cluster, "t0");
      for (const name of cluster.names) yield* cluster.restart(name);
      yield* cluster.advance(3000);
      for (const gateway of cluster.gateways.values()) gateway.losesPeerResponses = true;
      const { answers, late } = yield* continueEverywhere(cluster, CONTINUED);
      t.deepEqual(late, []);
      t.is(answers.length, DEADLINES_MS.length * OPTIONS.instances);
      t.true(answers.some(({ status }) => status === 503));
      const refused = cluster.linesOf("request").filter(({ status }) => status === 503);
      for (const { ownerWaits } of refused) {
        const waits = ownerWaits as readonly Partial<IOwnerWait>[];
        t.true(waits.some(({ isServed, tries = 0 }) => isServed === false && tries > 0));
      }
    }));
});

test("a turn whose slices stay closed is refused while its caller can try again, and served once they open", async (t) => {
  await GatewayCluster.run(OPTIONS, (cluster) =>
    Effect.gen(function* () {
      yield* storeTurn(cluster, "t0");
      const read = cluster.store.read.bind(cluster.store);
      let isClosed = true;
      cluster.store.read = (partition, opts: IPartitionReadOptions) => {
        if (isClosed && partition.topic.startsWith("slices")) return Effect.never;
        return read(partition, opts);
      };
      for (const name of cluster.names) yield* cluster.restart(name);
      yield* cluster.advance(3000);
      const { answers, late } = yield* continueEverywhere(cluster, CONTINUED);
      t.deepEqual(late, []);
      t.deepEqual([...new Set(answers.map(({ status }) => status))], [503]);
      isClosed = false;
      for (const name of cluster.names) yield* cluster.restart(name);
      yield* cluster.advance(3000);
      const { answers: later } = yield* continueEverywhere(cluster, { ...CONTINUED, prefix: "later" });
      t.deepEqual([...new Set(later.map(({ status }) => status))], [200]);
    }));
});

const LARGE = { ...OPTIONS, instances: 60, settings: { sliceTopics: 8, storeParts: 8 } };
const PROGRAMS = 24;
const RETURN_INTERVAL_MS = 50;
/** Time after the return of the last instance from which every turn must be served. */
const RECOVERY_MS = 6000;
const SEND_INTERVAL_MS = 1000;
const STORE_MS = [20, 250] as const;
const STORE_TIMEOUT_MS = 1000;
/** One of so many calls is not answered. */
const LOST_CALLS = 12;

/** Makes the calls to the store that open slices and find their owners slow, and loses some of them while it is lossy. */
function slowDown(
  store: IPartitionedLog,
  { random, isLossy }: { random: SeededRandom; isLossy: () => boolean },
): void {
  const slow = <A>(call: Effect.Effect<A, StoreError>): Effect.Effect<A, StoreError> =>
    Effect.suspend(() => {
      if (!isLossy() || random.nextInt(LOST_CALLS) > 0) {
        return Effect.delay(call, STORE_MS[0] + random.nextInt(STORE_MS[1] - STORE_MS[0]));
      }
      const lost = Effect.fail(new StoreError(StoreFault.NoResponse, "no answer"));
      return Effect.andThen(Effect.sleep(STORE_TIMEOUT_MS), lost);
    });
  const { read, append, join, owners } = store;
  Object.assign(store, {
    read: (...args: Parameters<typeof read>) => slow(read.apply(store, args)),
    append: (...args: Parameters<typeof append>) => slow(append.apply(store, args)),
    join: (...args: Parameters<typeof join>) => slow(join.apply(store, args)),
    owners: (...args: Parameters<typeof owners>) => slow(owners.apply(store, args)),
  });
}

test("stored turns are continued through any of 60 instances soon after all of them have lost power", async (t) => {
  await GatewayCluster.run(LARGE, (cluster) =>
    Effect.gen(function* () {
      const random = new SeededRandom(1);
      const programs = Array.from({ length: PROGRAMS }, (_, index) => `p${index}`);
      for (const program of programs) {
        const turn = { id: program, program };
        yield* sendTurn(cluster, cluster.names[random.nextInt(LARGE.instances)], {
          turn,
          onAnswer: ({ status }) => t.is(status, 200),
        });
      }
      yield* cluster.advance(1500);
      const { names } = cluster;
      for (const name of names) {
        yield* cluster.kill(name);
        yield* cluster.store.leave("slices", `${name}:3`);
      }
      let isLossy = true;
      slowDown(cluster.store, { random, isLossy: () => isLossy });
      for (const name of names) {
        yield* cluster.start(name);
        yield* cluster.advance(RETURN_INTERVAL_MS);
      }
      isLossy = false;
      const faults: string[] = [];
      for (let afterMs = 0; afterMs <= RECOVERY_MS + SEND_INTERVAL_MS; afterMs += SEND_INTERVAL_MS) {
        for (const program of programs) {
          const turn = {
            id: `${program}-${afterMs}`,
            program: `${program}-${afterMs}`,
            previousTurn: program,
          };
          yield* sendTurn(cluster, names[random.nextInt(names.length)], {
            turn,
            onAnswer: (answer) => {
              const isRefusedInTime = answer.status === 503 && answer.afterMs + answer.retryAfterMs < 3000;
              if (answer.status === 200 || (afterMs < RECOVERY_MS && isRefusedInTime)) return;
              faults.push(`${turn.id}: ${JSON.stringify(answer)}`);
            },
          });
        }
        yield* cluster.advance(SEND_INTERVAL_MS);
      }
      yield* cluster.advance(2500);
      t.deepEqual(faults, []);
    }));
});
