/** A request that crashes the servers that run it is refused after three crashes, and no other request is. */
import test from "ava";
import { Effect } from "effect";
import type { IGatewayRequest } from "../harness/gateway_cluster.ts";
import { CallerKind, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import { LinkCut } from "../harness/server_links.ts";
import { CrashForm, RestartForm } from "../stand_ins/backend_fleet.ts";

const INSTANCES = 3;
/** Crashes after which the request must not be sent to further servers. */
const CRASH_LIMIT = 3;
/** Time after the last of these crashes from which attempts are counted, in ms. */
const STABLE_MS = 3000;
/** Attempts after that time that the users' rule permits. */
const MAX_LATER_ATTEMPTS = 3;
const RETURN_INTERVAL_MS = 900;
const ROUNDS = 16;

const CRASHING = "crashing";

interface IScenario {
  readonly route: RoutePath;
  readonly caller: CallerKind;
  readonly body?: string;
  readonly crashForm?: CrashForm;
  readonly restartForm?: RestartForm;
  readonly leaveAfterMs?: number;
  readonly serversPerService?: number;
  /** Instance through which the request always comes; by default it takes turns. */
  readonly via?: string;
  /** Runs before each return of the request; `lastVia` is the instance through which it came last. */
  readonly disrupt?: (cluster: GatewayCluster, round: number, lastVia: string) => Effect.Effect<void>;
}

interface IOutcome {
  readonly crashes: number;
  readonly laterAttempts: number;
  /** Names of the other requests that were refused as crashing. */
  readonly refusedBystanders: string[];
  readonly bystandersServed: number;
}

/** Sends the request again and again through varying instances, with other requests beside it. */
function play(scenario: IScenario): Promise<IOutcome> {
  const { route, caller, body, crashForm, restartForm, leaveAfterMs, serversPerService, disrupt } = scenario;
  const opts = {
    instances: INSTANCES,
    serversPerService,
    crashForm: crashForm ?? CrashForm.BeforeHead,
    restartForm: restartForm ?? RestartForm.SameId,
  };
  return GatewayCluster.run(opts, (cluster) =>
    Effect.gen(function* () {
      const crashing: IGatewayRequest = { route, caller, body, name: CRASHING, leaveAfterMs };
      const refusedBystanders: string[] = [];
      let bystandersServed = 0;
      let [via] = cluster.names;
      for (let round = 0; round < ROUNDS; round++) {
        yield* disrupt?.(cluster, round, via) ?? Effect.void;
        const { names } = cluster;
        via = scenario.via ?? names[round % names.length];
        yield* Effect.forkDetach(cluster.send(via, crashing));
        for (const [index, name] of names.entries()) {
          const bystander = { route, caller, body, name: `other-${index}` };
          const served = Effect.map(cluster.send(name, bystander), ({ status, text }) => {
            if (status === 200) bystandersServed += 1;
            if (text.includes("crashing-request")) refusedBystanders.push(bystander.name);
          });
          yield* Effect.forkDetach(served);
        }
        yield* cluster.advance(RETURN_INTERVAL_MS);
      }
      const thirdCrashMs = cluster.fleet.crashes[CRASH_LIMIT - 1] ?? Infinity;
      const later = cluster.fleet.runs.filter(({ target, atMs }) =>
        target.endsWith(CRASHING) && atMs > thirdCrashMs + STABLE_MS
      );
      return {
        crashes: cluster.fleet.crashes.length,
        laterAttempts: later.length,
        refusedBystanders,
        bystandersServed,
      };
    }));
}

function testRefusal(title: string, scenario: IScenario): void {
  test(title, async (t) => {
    const { crashes, laterAttempts, refusedBystanders, bystandersServed } = await play(scenario);
    t.log({ crashes, laterAttempts, bystandersServed });
    t.true(crashes >= CRASH_LIMIT, `only ${crashes} crashes: the scenario does not reach the limit`);
    t.true(laterAttempts <= MAX_LATER_ATTEMPTS, `${laterAttempts} later attempts, ${crashes} crashes in all`);
    t.deepEqual(refusedBystanders, []);
    t.true(bystandersServed > 0);
  });
}

for (const route of Object.values(RoutePath)) {
  testRefusal(`a crashing request without body and caller is refused on ${route}`, {
    route,
    caller: CallerKind.None,
  });
  testRefusal(`a crashing request of a program is refused on ${route}`, {
    route,
    caller: CallerKind.Program,
    body: "x",
  });
}

for (const crashForm of Object.values(CrashForm)) {
  for (const route of [RoutePath.Unsafe, RoutePath.Safe, RoutePath.ResumableStream, RoutePath.Turn]) {
    testRefusal(`a request that crashes servers ${crashForm} is refused on ${route}`, {
      route,
      crashForm,
      caller: CallerKind.Program,
      body: "x",
    });
  }
}

testRefusal("a crashing request is refused if crashed servers restart under new ids", {
  route: RoutePath.Unsafe,
  caller: CallerKind.AffinityKey,
  crashForm: CrashForm.Silent,
  restartForm: RestartForm.NewId,
});

testRefusal("a crashing request is refused if its caller leaves before the crash is noticed", {
  route: RoutePath.Unsafe,
  caller: CallerKind.AffinityKey,
  crashForm: CrashForm.Silent,
  leaveAfterMs: 300,
});

testRefusal("a crashing request is refused after a restart of all instances", {
  route: RoutePath.Unsafe,
  caller: CallerKind.Program,
  disrupt: (cluster, round) =>
    round % 4 !== 3 ? Effect.void : Effect.andThen(
      Effect.forEach(cluster.names, (name) => cluster.restart(name), { discard: true }),
      cluster.advance(STABLE_MS),
    ),
});

testRefusal("a crashing request is refused during a rolling restart", {
  route: RoutePath.Unsafe,
  caller: CallerKind.Program,
  disrupt: (cluster, round) => cluster.restart(cluster.names[round % INSTANCES]),
});

testRefusal("a crashing request is refused by instances that do not reach each other", {
  route: RoutePath.Unsafe,
  caller: CallerKind.Program,
  disrupt: (cluster) =>
    Effect.sync(() => {
      for (const gateway of cluster.gateways.values()) gateway.isPeerDisconnected = true;
    }),
});

testRefusal("a crashing request is refused by instances that the store refuses", {
  route: RoutePath.Safe,
  caller: CallerKind.Program,
  disrupt: (cluster) =>
    Effect.sync(() => {
      for (const gateway of cluster.gateways.values()) gateway.isStoreRefused = true;
    }),
});

testRefusal("a crashing request is refused by instances that start while the store refuses all", {
  route: RoutePath.Unsafe,
  caller: CallerKind.Program,
  disrupt: (cluster, round) =>
    Effect.gen(function* () {
      for (const gateway of cluster.gateways.values()) gateway.isStoreRefused = true;
      if (round < 4) return;
      yield* cluster.restart(cluster.names[round % INSTANCES], { isStoreRefused: true });
      yield* cluster.advance(1000);
    }),
});

testRefusal("a crashing request is refused if its instances restart before its silent crashes are noticed", {
  route: RoutePath.Unsafe,
  caller: CallerKind.Program,
  crashForm: CrashForm.Silent,
  leaveAfterMs: 300,
  disrupt: (cluster, round, lastVia) => round === 0 ? Effect.void : cluster.restart(lastVia),
});

testRefusal(
  "a crashing request is refused by instances that restart just before each return, without the store",
  {
    route: RoutePath.Unsafe,
    caller: CallerKind.Program,
    disrupt: (cluster, round) =>
      Effect.gen(function* () {
        for (const gateway of cluster.gateways.values()) gateway.isStoreRefused = true;
        yield* cluster.restart(cluster.names[round % INSTANCES], { isStoreRefused: true });
      }),
  },
);

for (const serversPerService of [4, 8]) {
  for (const crashForm of [CrashForm.Silent, CrashForm.BeforeHead]) {
    const title = `a request that crashes ${serversPerService} servers ${crashForm} is refused`;
    testRefusal(`${title} although its instance restarts again and again and the store refuses that`, {
      route: RoutePath.Unsafe,
      caller: CallerKind.Program,
      crashForm,
      serversPerService,
      via: "g0",
      disrupt: (cluster, round) =>
        Effect.gen(function* () {
          cluster.gateways.get("g0")!.isStoreRefused = true;
          if (round > 0) yield* cluster.restart("g0", { isStoreRefused: true });
          yield* cluster.advance(800);
        }),
    });
  }
  testRefusal(
    `a request that crashes ${serversPerService} servers is refused if they end with errors and silently by turns`,
    {
      route: RoutePath.Unsafe,
      caller: CallerKind.Program,
      serversPerService,
      disrupt: (cluster, round) =>
        Effect.sync(() => {
          cluster.fleet.crashForm = round % 2 === 0 ? CrashForm.BeforeHead : CrashForm.Silent;
        }),
    },
  );
}

testRefusal(
  "a request that crashes servers silently is refused by instances that restart while the store refuses all",
  {
    route: RoutePath.Unsafe,
    caller: CallerKind.Program,
    crashForm: CrashForm.Silent,
    disrupt: (cluster, round) =>
      Effect.gen(function* () {
        for (const gateway of cluster.gateways.values()) gateway.isStoreRefused = true;
        yield* cluster.restart(cluster.names[round % INSTANCES], { isStoreRefused: true });
        yield* cluster.advance(300);
      }),
  },
);

for (const crashForm of [CrashForm.Silent, CrashForm.SilentMidBody, CrashForm.BeforeHead]) {
  testRefusal(
    `a request that crashes servers ${crashForm} is refused if all instances restart every few rounds`,
    {
      route: RoutePath.Unsafe,
      caller: CallerKind.Program,
      crashForm,
      disrupt: (cluster, round) =>
        round % 4 !== 3
          ? Effect.void
          : Effect.forEach(cluster.names, (name) => cluster.restart(name), { discard: true }),
    },
  );
}

testRefusal("a crashing request is refused although other servers respond with errors", {
  route: RoutePath.Unsafe,
  caller: CallerKind.Program,
  disrupt: (cluster, round) =>
    Effect.sync(() => {
      cluster.fleet.status = round % 2 === 0 ? 200 : 500;
    }),
});

testRefusal(
  "a crashing request is refused if the store was down during its crashes and all instances restart later",
  {
    route: RoutePath.Unsafe,
    caller: CallerKind.Program,
    disrupt: (cluster, round) =>
      Effect.gen(function* () {
        for (const gateway of cluster.gateways.values()) gateway.isStoreRefused = round < 4;
        if (round !== 4) return;
        yield* cluster.advance(STABLE_MS);
        yield* Effect.forEach(cluster.names, (name) => cluster.restart(name), { discard: true });
        yield* cluster.advance(STABLE_MS);
      }),
  },
);

test("none of many requests that return beside a crashing one is refused, whatever they hash to", async (t) => {
  for (const seed of [0, 1, 2]) {
    const opts = { instances: 4, crashForm: CrashForm.BeforeHead, restartForm: RestartForm.SameId };
    const refused = await GatewayCluster.run(opts, (cluster) =>
      Effect.gen(function* () {
        const names: string[] = [];
        const req = { route: RoutePath.Turn, caller: CallerKind.Program, body: "x" };
        for (let round = 0; round < ROUNDS; round++) {
          const crashing = { ...req, name: `${CRASHING}-${seed}` };
          yield* Effect.forkDetach(cluster.send(cluster.names[round % opts.instances], crashing));
          for (let index = 0; index < 24; index++) {
            const bystander = { ...req, name: `other-${seed}-${index}` };
            const sending = Effect.map(
              cluster.send(cluster.names[index % opts.instances], bystander),
              (sink) => {
                if (sink.text.includes("crashing-request")) names.push(bystander.name);
              },
            );
            yield* Effect.forkDetach(sending);
          }
          yield* cluster.advance(700);
        }
        t.true(cluster.fleet.crashes.length >= CRASH_LIMIT);
        return names;
      }));
    t.deepEqual(refused, [], `seed ${seed}`);
  }
});

test("a request whose responses were lost is served after its servers have proved to be alive", async (t) => {
  t.plan(INSTANCES);
  const opts = { instances: INSTANCES, crashForm: CrashForm.BeforeHead, restartForm: RestartForm.SameId };
  await GatewayCluster.run(opts, (cluster) =>
    Effect.gen(function* () {
      const req = { route: RoutePath.Unsafe, caller: CallerKind.Program, name: "lost" };
      cluster.losesAnswers = true;
      for (let round = 0; round < 6; round++) {
        yield* Effect.forkDetach(cluster.send(cluster.names[round % INSTANCES], req));
        yield* cluster.advance(500);
      }
      cluster.losesAnswers = false;
      yield* cluster.advance(8000);
      for (const name of cluster.names) {
        const sending = Effect.map(cluster.send(name, req), ({ status }) => t.is(status, 200));
        yield* Effect.forkDetach(sending);
        yield* cluster.advance(500);
      }
    }));
});

for (const form of [LinkCut.Hang, LinkCut.Refuse]) {
  test(`requests of an instance whose links to all servers ${form} are not struck while the store refuses all`, async (t) => {
    const opts = { instances: INSTANCES, crashForm: CrashForm.Silent, restartForm: RestartForm.SameId };
    await GatewayCluster.run(opts, (cluster) =>
      Effect.gen(function* () {
        for (const gateway of cluster.gateways.values()) gateway.isStoreRefused = true;
        const { links } = cluster.gateways.get("g0")!;
        for (let step = 0; step < 60; step++) {
          if (step === 10) links.cut(form);
          for (const name of cluster.names) {
            const req = { route: RoutePath.Unsafe, caller: CallerKind.Program, name: `other-${step % 8}` };
            yield* Effect.forkDetach(cluster.send(name, req));
          }
          yield* cluster.advance(100);
        }
        t.deepEqual(cluster.linesOf("strike-added"), []);
      }));
  });
}
