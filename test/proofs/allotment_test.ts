/** Organisations get as many requests run as their allotments state, over all instances together, and no more. */
import test from "ava";
import { Effect } from "effect";
import type { IGatewayRequest, IWireOrganisation } from "../harness/gateway_cluster.ts";
import { CallerKind, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import { CrashForm, RestartForm, ServerBehavior } from "../stand_ins/backend_fleet.ts";

const WINDOW_MS = 5000;
const OVER = 1.1;
const SLACK = 20;
/** Time after its publication within which a configuration takes effect. */
const APPLY_MS = 3000;
const PLAY_MS = 12_000;
const STEP_MS = 50;
const REQUESTS_PER_PROGRAM = 12;
const PAUSE_MS = 50;
/** Share of the allotment that must be used where demand exceeds it and nothing fails. */
const MIN_USED_SHARE = 0.9;

/** Sends six times its allotment. */
const FLOODING: IWireOrganisation = { Name: "flooding", ApiKeys: ["key-f"], RatePerS: 40, Burst: 40 };
/** Sends half of its allotment. */
const CALM: IWireOrganisation = { Name: "calm", ApiKeys: ["key-c"], RatePerS: 12, Burst: 12 };
const UNLIMITED: IWireOrganisation = { Name: "unlimited", ApiKeys: ["key-u"] };

type Disruption = (cluster: GatewayCluster, elapsedMs: number) => Effect.Effect<void>;

interface IPlay {
  readonly instances: number;
  readonly route?: RoutePath;
  /** Rate of the flooding organisation by the time since the start. */
  readonly rateAt?: (elapsedMs: number) => number;
  readonly disrupt?: Disruption;
}

interface IAnswer {
  readonly organisation: string;
  readonly status: number;
  readonly atMs: number;
  readonly retryAfterS: number | undefined;
}

interface IPlayed {
  /** Times since the start at which servers ran requests, by organisation. */
  readonly runsMs: ReadonlyMap<string, readonly number[]>;
  readonly answers: readonly IAnswer[];
  /** Largest number of requests beyond the rule in any window, by organisation. */
  readonly excess: ReadonlyMap<string, number>;
  /** Programs of the flooding organisation that completed. */
  readonly completed: number;
  readonly refusalLines: readonly Record<string, unknown>[];
}

function worstExcess(
  runsMs: readonly number[],
  { RatePerS, Burst }: IWireOrganisation,
  rateAt = () => RatePerS!,
): number {
  const allowedFrom = (fromMs: number) => {
    let rate = 0;
    for (let atMs = fromMs - APPLY_MS; atMs <= fromMs + WINDOW_MS; atMs += STEP_MS) {
      rate = Math.max(rate, (rateAt as (atMs: number) => number)(atMs));
    }
    return (rate * WINDOW_MS / 1000 + Burst! * rate / RatePerS!) * OVER + SLACK;
  };
  return Math.max(
    ...runsMs.map((fromMs) =>
      runsMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length - allowedFrom(fromMs)
    ),
    -Infinity,
  );
}

function organisationsAt(rate: number): IWireOrganisation[] {
  return [{ ...FLOODING, RatePerS: rate, Burst: rate }, CALM, UNLIMITED];
}

function play(
  { instances, route = RoutePath.Safe, rateAt = () => FLOODING.RatePerS!, disrupt }: IPlay,
): Promise<IPlayed> {
  const opts = {
    instances,
    crashForm: CrashForm.BeforeHead,
    restartForm: RestartForm.SameId,
    organisations: organisationsAt(rateAt(0)),
    settings: { allotmentSlackRequests: SLACK },
  };
  return GatewayCluster.run(opts, (cluster) =>
    Effect.gen(function* () {
      const startMs = cluster.nowMs;
      const answers: IAnswer[] = [];
      let completed = 0;
      let sent = 0;
      const send = ({ Name, ApiKeys }: IWireOrganisation, program: number) =>
        Effect.gen(function* () {
          const { names } = cluster;
          if (names.length === 0) return false;
          const id = `${Name}-${program}-${sent++}`;
          const callerId = `${Name}-${program}`;
          const req: IGatewayRequest = {
            route,
            name: id,
            id,
            caller: CallerKind.Program,
            callerId,
            body: "x",
            apiKey: ApiKeys![0],
          };
          const { status, headers } = yield* cluster.send(names[sent % names.length], req);
          const retryAfter = headers.indexOf("retry-after");
          const retryAfterS = retryAfter < 0 ? undefined : Number(headers[retryAfter + 1]);
          answers.push({ organisation: Name, status, atMs: cluster.nowMs - startMs, retryAfterS });
          return status === 200;
        });
      const runProgram = (organisation: IWireOrganisation, program: number) =>
        Effect.gen(function* () {
          for (let index = 0; index < REQUESTS_PER_PROGRAM; index++) {
            if (!(yield* send(organisation, program))) return;
            yield* Effect.sleep(PAUSE_MS);
          }
          if (organisation === FLOODING) completed += 1;
        });
      let programs = 0;
      let rate = rateAt(0);
      for (let elapsedMs = 0; elapsedMs < PLAY_MS; elapsedMs += STEP_MS) {
        if (rateAt(elapsedMs) !== rate) {
          rate = rateAt(elapsedMs);
          cluster.publishConfiguration({ organisations: organisationsAt(rate) });
        }
        yield* disrupt?.(cluster, elapsedMs) ?? Effect.void;
        const floodingPerS = 6 * FLOODING.RatePerS! / REQUESTS_PER_PROGRAM;
        if (elapsedMs % (1000 / floodingPerS) === 0) {
          yield* Effect.forkDetach(runProgram(FLOODING, programs++));
        }
        if (elapsedMs % 2000 === 0) {
          yield* Effect.forkDetach(runProgram(CALM, programs++));
          yield* Effect.forkDetach(runProgram(UNLIMITED, programs++));
        }
        yield* cluster.advance(STEP_MS);
      }
      const { runs } = cluster.fleet;
      const runsOf = (name: string) =>
        runs.filter(({ requestId }) => requestId.startsWith(`${name}-`)).map(({ atMs }) => atMs - startMs);
      const runsMs = new Map([FLOODING, CALM, UNLIMITED].map(({ Name }) => [Name, runsOf(Name)]));
      return {
        runsMs,
        answers,
        excess: new Map([
          [FLOODING.Name, worstExcess(runsMs.get(FLOODING.Name)!, FLOODING, rateAt as () => number)],
          [CALM.Name, worstExcess(runsMs.get(CALM.Name)!, CALM)],
        ]),
        completed,
        refusalLines: cluster.linesOf("allotment-exhausted"),
      };
    }));
}

/** Share of what the flooding organisation may have run in a period that was run. */
function usedShare({ runsMs }: IPlayed, [fromMs, untilMs]: readonly [number, number]): number {
  const used = runsMs.get(FLOODING.Name)!.filter((atMs) => atMs >= fromMs && atMs < untilMs).length;
  return used / (FLOODING.RatePerS! * (untilMs - fromMs) / 1000);
}

function refusedOf({ answers }: IPlayed, name: string): IAnswer[] {
  return answers.filter(({ organisation, status }) => organisation === name && status === 429);
}

for (const instances of [3, 12]) {
  for (const route of [RoutePath.Safe, RoutePath.Unsafe, RoutePath.Turn]) {
    test.serial(`${instances} instances run an allotment and no more, beside other organisations, on ${route}`, async (t) => {
      const played = await play({ instances, route });
      t.true(played.excess.get(FLOODING.Name)! <= 0, `${played.excess.get(FLOODING.Name)} too many`);
      const used = usedShare(played, [0, PLAY_MS]);
      t.true(used >= MIN_USED_SHARE, `${used} used`);
      const allowed = FLOODING.RatePerS! * PLAY_MS / 1000 / REQUESTS_PER_PROGRAM;
      t.true(played.completed >= 0.75 * allowed, `${played.completed} of ${allowed} programs`);
      const statuses = new Set(played.answers.map(({ status }) => status));
      t.deepEqual([...statuses].sort(), [200, 429]);
      t.deepEqual([...refusedOf(played, CALM.Name), ...refusedOf(played, UNLIMITED.Name)], []);
      t.true(
        refusedOf(played, FLOODING.Name).every(({ retryAfterS }) => retryAfterS! > 0 && retryAfterS! <= 5),
      );
      const lines = played.refusalLines;
      t.true(lines.length >= 1 && lines.length <= 2, `${lines.length} lines`);
      t.deepEqual([lines[0].organisation, lines[0].perSecond, lines[0].version], [FLOODING.Name, 40, 1]);
    });
  }
}

function ownerOf(cluster: GatewayCluster, name = FLOODING.Name): string {
  const [{ core }] = cluster.gateways.values();
  return core.group.ownerOf(core.owned.sliceOf(name)).split(":")[0];
}

const killOwner: Disruption = (cluster, elapsedMs) =>
  elapsedMs === 4000 ? cluster.kill(ownerOf(cluster)) : Effect.void;

const restartOwners: Disruption = (cluster, elapsedMs) =>
  elapsedMs > 0 && elapsedMs % 3000 === 0 ? cluster.restart(ownerOf(cluster)) : Effect.void;

const restartAll: Disruption = (cluster, elapsedMs) =>
  elapsedMs === 4000
    ? Effect.forEach(cluster.names, (name) => cluster.restart(name), { discard: true })
    : Effect.void;

const cutOwner: Disruption = (cluster, elapsedMs) =>
  Effect.sync(() => {
    if (elapsedMs === 3000) cluster.gateways.get(ownerOf(cluster))!.isPeerDisconnected = true;
  });

const cutOther: Disruption = (cluster, elapsedMs) =>
  Effect.sync(() => {
    const other = cluster.names.find((name) => name !== ownerOf(cluster))!;
    if (elapsedMs === 3000) cluster.gateways.get(other)!.isPeerDisconnected = true;
  });

const cutAll: Disruption = (cluster, elapsedMs) =>
  Effect.sync(() => {
    if (elapsedMs === 3000) {
      for (const gateway of cluster.gateways.values()) gateway.isPeerDisconnected = true;
    }
  });

const loseResponses: Disruption = (cluster, elapsedMs) =>
  Effect.sync(() => {
    if (elapsedMs === 3000) cluster.gateways.get(ownerOf(cluster))!.losesPeerResponses = true;
  });

const refuseStore: Disruption = (cluster, elapsedMs) =>
  Effect.sync(() => {
    if (elapsedMs === 2000) {
      for (const gateway of cluster.gateways.values()) gateway.isStoreRefused = true;
    }
    if (elapsedMs === 8000) {
      for (const gateway of cluster.gateways.values()) gateway.isStoreRefused = false;
    }
  });

const refuseStoreToOwner: Disruption = (cluster, elapsedMs) =>
  Effect.sync(() => {
    if (elapsedMs === 3000) cluster.gateways.get(ownerOf(cluster))!.isStoreRefused = true;
  });

const loseAnswers: Disruption = (cluster) =>
  Effect.sync(() => {
    for (const server of cluster.fleet.servers) server.behavior = ServerBehavior.LosesAnswers;
  });

/** Title, disruption, and the share of the allotment that must be used in a period after it. */
const DISRUPTIONS: readonly (readonly [string, Disruption, number, readonly [number, number]])[] = [
  ["after its owner was killed", killOwner, 0.4, [4000, 8000]],
  ["while its owners restart", restartOwners, 0.4, [3000, PLAY_MS]],
  ["after all instances were killed and started", restartAll, 0.4, [4000, PLAY_MS]],
  ["while its owner is cut off from the others", cutOwner, 0.4, [4000, PLAY_MS]],
  ["while another instance is cut off", cutOther, 0.6, [4000, PLAY_MS]],
  ["while no instance reaches another one", cutAll, 0.4, [4000, PLAY_MS]],
  ["while the answers of its owner are lost", loseResponses, 0.3, [4000, PLAY_MS]],
  ["while the store refuses all", refuseStore, MIN_USED_SHARE, [2000, 8000]],
  ["while the store refuses its owner", refuseStoreToOwner, 0.6, [3000, PLAY_MS]],
  ["while every second answer of the servers is lost", loseAnswers, 0.6, [0, PLAY_MS]],
];

for (const instances of [3, 12]) {
  for (const [title, disrupt, minUsed, period] of DISRUPTIONS) {
    test.serial(`${instances} instances keep to an allotment ${title}`, async (t) => {
      const played = await play({ instances, disrupt });
      for (const [name, excess] of played.excess) t.true(excess <= 0, `${excess} too many of ${name}`);
      const used = usedShare(played, period);
      t.log(
        `${used.toFixed(2)} used, excess ${played.excess.get(FLOODING.Name)}, calm refused ${
          refusedOf(played, CALM.Name).length
        }`,
      );
      t.true(used >= minUsed, `${used} used`);
    });
  }

  test.serial(`${instances} instances apply a lowered and a raised allotment at once`, async (t) => {
    const rateAt = (elapsedMs: number) => elapsedMs < 3000 ? 40 : elapsedMs < 7500 ? 8 : 40;
    const played = await play({ instances, rateAt });
    t.true(played.excess.get(FLOODING.Name)! <= 0, `${played.excess.get(FLOODING.Name)} too many`);
    const lowered = played.runsMs.get(FLOODING.Name)!.filter((atMs) => atMs >= 4000 && atMs < 7500).length;
    t.true(lowered <= 8 * 3.5 * OVER + 8 + SLACK, `${lowered} after it was lowered`);
    const raised = usedShare(played, [8000, PLAY_MS]);
    t.true(raised >= MIN_USED_SHARE, `${raised} used after it was raised`);
  });
}

test.serial("an organisation that is removed gets nothing run, and returns with its allotment", async (t) => {
  const disrupt: Disruption = (cluster, elapsedMs) =>
    Effect.sync(() => {
      if (elapsedMs === 3000) cluster.publishConfiguration({ organisations: [CALM, UNLIMITED] });
      if (elapsedMs === 6000) cluster.publishConfiguration({ organisations: organisationsAt(40) });
    });
  const played = await play({ instances: 3, disrupt });
  t.true(played.excess.get(FLOODING.Name)! <= 0);
  t.is(usedShare(played, [3500, 6000]), 0);
  t.true(usedShare(played, [6500, PLAY_MS]) >= MIN_USED_SHARE);
  t.deepEqual(refusedOf(played, CALM.Name), []);
});

test.serial("organisations without an allotment and deployments without organisations cause no question", async (t) => {
  const opts = { instances: 3, crashForm: CrashForm.BeforeHead, restartForm: RestartForm.SameId };
  const questions = (organisations: IWireOrganisation[] | undefined, apiKey: string | undefined) =>
    GatewayCluster.run(
      { ...opts, ...(organisations === undefined ? {} : { organisations }) },
      (cluster) =>
        Effect.gen(function* () {
          const req: IGatewayRequest = {
            route: RoutePath.Turn,
            name: "x",
            caller: CallerKind.Program,
            body: "x",
          };
          for (const name of cluster.names) {
            yield* Effect.forkDetach(cluster.send(name, apiKey === undefined ? req : { ...req, apiKey }));
          }
          yield* cluster.advance(1000);
          t.is(cluster.fleet.runs.length, 3);
          return [...cluster.gateways.values()].some(({ core }) =>
            core.metrics.render().includes("allotment_requests")
          );
        }),
    );
  t.false(await questions(undefined, undefined));
  t.false(await questions([UNLIMITED], "key-u"));
  t.true(await questions([CALM], "key-c"));
});
