/** A server that states a limit receives no more than that from all instances together, and no less if there is demand. */
import test from "ava";
import { Effect } from "effect";
import type { IGatewayRequest } from "../harness/gateway_cluster.ts";
import { CallerKind, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import type { IFleetServer } from "../stand_ins/backend_fleet.ts";
import { CrashForm, RestartForm, ServerBehavior } from "../stand_ins/backend_fleet.ts";

/** The users' rule counts from this time after a server first stated its limit. */
const STABLE_MS = 3000;
const WINDOW_MS = 4000;
/** The rule counts the requests of instances that relayed such a response at least this long ago. */
const TOLD_AFTER_MS = 500;
const LIMITED_FROM_MS = 500;
const PLAY_MS = 11_000;
const STEP_MS = 50;
/** Share of the stated places that must be used while there is demand for them. */
const MIN_USED_SHARE = 0.8;

/** What happens beside the limit; called before each step with the time since the start of the play. */
type Disruption = (cluster: GatewayCluster, elapsedMs: number) => Effect.Effect<void>;

interface IPlay {
  readonly route?: RoutePath;
  readonly instances?: number;
  readonly servers?: number;
  /** Number of servers that state a limit. */
  readonly limited?: number;
  /** Requests per second of all instances together. */
  readonly demand: number;
  /** Limit of each of them by time since the limits began. */
  readonly limitAt: (elapsedMs: number) => number | undefined;
  readonly behavior?: ServerBehavior;
  readonly disrupt?: Disruption;
}

interface IArrival {
  readonly instance: string;
  readonly atMs: number;
}

interface IAnswer {
  readonly status: number;
  readonly tookMs: number;
  readonly sentAtMs: number;
  readonly hasRetryAfter: boolean;
}

interface IPlayed {
  /** Requests that each limited server received, by time since its limit began. */
  readonly arrivals: readonly (readonly IArrival[])[];
  /** Requests beyond what the users' rule allows, in the worst window of each limited server. */
  readonly excess: readonly number[];
  readonly answers: readonly IAnswer[];
  readonly runTwice: readonly string[];
}

/** Largest number of requests beyond the allowed in any window, of instances that had relayed the limit. */
function worstExcess(arrivals: readonly IArrival[], limitAt: IPlay["limitAt"]): number {
  const toldAtMs = new Map<string, number>();
  for (const { instance, atMs } of arrivals) {
    if (!toldAtMs.has(instance)) toldAtMs.set(instance, atMs + TOLD_AFTER_MS);
  }
  const counted = arrivals.filter(({ instance, atMs }) =>
    atMs >= STABLE_MS && atMs >= toldAtMs.get(instance)! && limitAt(atMs) !== undefined
  );
  return Math.max(
    ...counted.map(({ atMs: fromMs }) => {
      const inWindow = counted.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + WINDOW_MS);
      const limits = [fromMs, fromMs + WINDOW_MS / 2, fromMs + WINDOW_MS].map((atMs) => limitAt(atMs) ?? 0);
      return inWindow.length - (1.5 * Math.max(...limits) * WINDOW_MS / 1000 + 5);
    }),
    -Infinity,
  );
}

function play(scenario: IPlay): Promise<IPlayed> {
  const { route = RoutePath.Safe, instances = 5, servers = 4, limited = 2, demand, limitAt } = scenario;
  const opts = {
    instances,
    serversPerService: servers,
    crashForm: CrashForm.BeforeHead,
    restartForm: RestartForm.SameId,
  };
  return GatewayCluster.run(opts, (cluster) =>
    Effect.gen(function* () {
      const service = route === RoutePath.Safe || route === RoutePath.Unsafe ? "plain" : "engines";
      const needy: IFleetServer[] = cluster.fleet.servers.filter((server) => server.service === service)
        .slice(0, limited);
      const answers: IAnswer[] = [];
      const startMs = cluster.nowMs;
      const limitedFromMs = startMs + LIMITED_FROM_MS;
      let sent = 0;
      for (let elapsedMs = 0; elapsedMs < PLAY_MS; elapsedMs += STEP_MS) {
        if (elapsedMs >= LIMITED_FROM_MS) {
          for (const server of needy) {
            server.limitPerSecond = limitAt(elapsedMs - LIMITED_FROM_MS);
            server.behavior = scenario.behavior ?? ServerBehavior.Sound;
          }
        }
        yield* scenario.disrupt?.(cluster, elapsedMs) ?? Effect.void;
        for (; sent < demand * elapsedMs / 1000; sent++) {
          const name = cluster.names[sent % cluster.names.length];
          const id = `${name}-${sent}`;
          const request: IGatewayRequest = {
            route,
            id,
            caller: CallerKind.Program,
            body: "x",
            name: id,
            affinityKey: id,
          };
          const sentAtMs = cluster.nowMs;
          const sending = Effect.map(cluster.send(name, request), ({ status, headers }) => {
            answers.push({
              status,
              tookMs: cluster.nowMs - sentAtMs,
              sentAtMs: sentAtMs - limitedFromMs,
              hasRetryAfter: headers.includes("retry-after"),
            });
          });
          yield* Effect.forkDetach(sending);
        }
        yield* cluster.advance(STEP_MS);
      }
      const arrivals = needy.map(({ id }) =>
        cluster.fleet.runs.filter(({ serverId, atMs }) => serverId === id && atMs >= limitedFromMs)
          .map(({ requestId, atMs }) => ({
            instance: requestId.split("-")[0],
            atMs: atMs - limitedFromMs,
          }))
      );
      const ids = cluster.fleet.runs.map(({ requestId }) => requestId);
      return {
        arrivals,
        excess: arrivals.map((list) => worstExcess(list, limitAt)),
        answers,
        runTwice: ids.filter((id, index) => ids.indexOf(id) !== index),
      };
    }));
}

/** Smallest share of its places that a limited server received, once the rule counts. */
function usedShare({ arrivals }: IPlayed, perSecond: number): number {
  const untilMs = PLAY_MS - LIMITED_FROM_MS;
  const places = perSecond * (untilMs - STABLE_MS) / 1000;
  return Math.min(
    ...arrivals.map((list) => list.filter(({ atMs }) => atMs >= STABLE_MS).length / places),
  );
}

for (const instances of [5, 11]) {
  for (const route of [RoutePath.Safe, RoutePath.Unsafe, RoutePath.Turn]) {
    test(`limited servers get no more than they state from ${instances} instances, on ${route}`, async (t) => {
      const played = await play({ route, instances, demand: 60, limitAt: () => 4 });
      t.true(Math.max(...played.excess) <= 0, `${played.excess.join()} too many`);
      t.true(usedShare(played, 4) >= MIN_USED_SHARE, `${usedShare(played, 4)} of the places used`);
      t.deepEqual(played.answers.filter(({ status }) => status !== 200), []);
    });
  }
}
