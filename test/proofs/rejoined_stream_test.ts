/**
 * Guards against answers that are joined from two software versions: a stream whose record was lost when all instances were
 * killed must not be taken for an earlier try of the same request, which is still in the store.
 */
import test from "ava";
import { Effect } from "effect";
import { CallerKind, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import { CrashForm, RestartForm } from "../stand_ins/backend_fleet.ts";
import type { RecordingSink } from "../stand_ins/recording_sink.ts";

const STREAMS = 24;
/** Time after which each stream has brought its first event and not its second, in ms. */
const FIRST_EVENT_MS = 60;
/** Time after which the records of streams are in the store, in ms. */
const STORED_MS = 1500;
const RUN_MS = 600;
/** Time in which crashed servers are back and restarted instances serve, in ms. */
const RECOVERY_MS = 4000;
const OPTIONS = {
  instances: 3,
  crashForm: CrashForm.MidBody,
  restartForm: RestartForm.NewId,
  softwareVersions: ["v1", "v1.1"],
};

/** What happens to the servers of the version that served the first tries. */
enum VersionChange {
  None = "both versions serve all the time",
  Back = "the first version is away during the second try",
  Gone = "the first version has left before the second try",
  Leaving = "the version of the second try leaves before the third",
}

interface ITry {
  readonly name: string;
  readonly id: string;
  readonly sink: RecordingSink;
}

interface IScenario {
  readonly route: RoutePath;
  readonly change: VersionChange;
  /** Instances that are killed after the second try, all or but one. */
  readonly survivors: number;
  readonly isStoreRefused?: boolean;
  readonly namesAttempt?: boolean;
  /** Whether a second loss of all instances follows while streams are being taken up. */
  readonly isKilledAgain?: boolean;
}

function versionsIn(text: string): string[] {
  return [...new Set([...text.matchAll(/data: (.*)/g)].map(([, version]) => version))];
}

/** Sends all streams from the start through the instances by turns; each caller leaves after the first event. */
function sendTries(
  cluster: GatewayCluster,
  { route, round }: { route: RoutePath; round: number },
): Effect.Effect<Map<string, ITry>> {
  return Effect.gen(function* () {
    const tries = new Map<string, ITry>();
    for (let index = 0; index < STREAMS; index++) {
      const name = `stream-${index}`;
      const id = `try-${round}-${index}`;
      const req = {
        route,
        name,
        id,
        caller: CallerKind.Program,
        body: "x",
        leaveAfterMs: FIRST_EVENT_MS,
      };
      const via = cluster.names[(index + round) % cluster.names.length];
      const sending = Effect.map(cluster.send(via, req), (sink) => tries.set(name, { name, id, sink }));
      yield* Effect.forkDetach(sending);
    }
    yield* cluster.advance(FIRST_EVENT_MS + 20);
    return new Map([...tries].filter(([, { sink }]) => sink.text.includes("id: 1")));
  });
}

function crashVersion(cluster: GatewayCluster, version: string): Effect.Effect<void> {
  const servers = cluster.fleet.servers.filter(({ softwareVersion }) => softwareVersion === version);
  return Effect.forEach(servers, (server) => Effect.forkDetach(cluster.fleet.crash(server)), {
    discard: true,
  });
}

function unlistVersion(cluster: GatewayCluster, version: string): void {
  for (const server of cluster.fleet.servers) {
    if (server.softwareVersion !== version) continue;
    server.isSilent = true;
    cluster.fleet.unlist(server);
  }
}

/** Takes the streams up after their last try; returns the texts of those that were answered with 200. */
function resume(
  cluster: GatewayCluster,
  { route, tries, namesAttempt }: {
    route: RoutePath;
    tries: ReadonlyMap<string, ITry>;
    namesAttempt: boolean;
  },
): Effect.Effect<string[]> {
  return Effect.gen(function* () {
    const texts: string[] = [];
    let index = 0;
    for (const { name, id, sink } of tries.values()) {
      index += 1;
      const rest = { route, name, caller: CallerKind.Program, body: "x", lastEventId: "1" };
      const req = { ...rest, resumes: namesAttempt ? id : undefined };
      const via = cluster.names[index % cluster.names.length];
      const sending = Effect.map(cluster.send(via, req), ({ status, text }) => {
        if (status === 200) texts.push(sink.text + text);
      });
      yield* Effect.forkDetach(sending);
    }
    yield* cluster.advance(RUN_MS);
    return texts;
  });
}

function killInstances(
  cluster: GatewayCluster,
  survivors: number,
  isStoreRefused = false,
): Effect.Effect<void> {
  const killed = cluster.names.slice(survivors);
  return Effect.forEach(killed, (name) => cluster.restart(name, { isStoreRefused }), { discard: true });
}

interface IOutcome {
  readonly texts: readonly string[];
  readonly triesOfTwoVersions: number;
}

function play(
  { route, change, survivors, isStoreRefused = false, namesAttempt = false, isKilledAgain }: IScenario,
): Promise<IOutcome> {
  return GatewayCluster.run(OPTIONS, (cluster) =>
    Effect.gen(function* () {
      yield* cluster.advance(RECOVERY_MS);
      const first = yield* sendTries(cluster, { route, round: 0 });
      yield* cluster.advance(STORED_MS);
      if (change === VersionChange.Back) yield* crashVersion(cluster, "v1");
      if (change === VersionChange.Gone) unlistVersion(cluster, "v1");
      if (change === VersionChange.Gone) yield* cluster.advance(1000);
      const second = yield* sendTries(cluster, { route, round: 1 });
      if (change === VersionChange.Leaving) unlistVersion(cluster, "v1.1");
      yield* killInstances(cluster, survivors, isStoreRefused);
      yield* cluster.advance(RECOVERY_MS);
      for (const gateway of cluster.gateways.values()) gateway.isStoreRefused = false;
      const resumed = { route, tries: second, namesAttempt };
      if (isKilledAgain) {
        yield* Effect.forkDetach(resume(cluster, resumed));
        yield* cluster.advance(FIRST_EVENT_MS);
        yield* killInstances(cluster, 0);
        yield* cluster.advance(RECOVERY_MS);
      }
      const texts = yield* resume(cluster, resumed);
      const versionOf = (tries: ReadonlyMap<string, ITry>, name: string) =>
        versionsIn(tries.get(name)?.sink.text ?? "").join();
      const names = [...second.keys()].filter((name) => versionOf(first, name) !== versionOf(second, name));
      return { texts, triesOfTwoVersions: names.length };
    }));
}

for (const route of [RoutePath.ResumableStream, RoutePath.ResumableTurn]) {
  for (const change of Object.values(VersionChange)) {
    for (const survivors of [0, 1]) {
      test(`no answer is joined from two tries, ${route}, ${change}, ${survivors} instances live on`, async (t) => {
        const { texts } = await play({ route, change, survivors });
        for (const text of texts) t.is(versionsIn(text).length, 1, text);
        t.pass();
      });
    }
  }

  test(`no answer is joined if the store refuses the restarted instances, ${route}`, async (t) => {
    const { texts } = await play({ route, change: VersionChange.Back, survivors: 0, isStoreRefused: true });
    for (const text of texts) t.is(versionsIn(text).length, 1, text);
    t.pass();
  });

  test(`no answer is joined if all instances are killed again while streams are taken up, ${route}`, async (t) => {
    const { texts } = await play({ route, change: VersionChange.Back, survivors: 0, isKilledAgain: true });
    for (const text of texts) t.is(versionsIn(text).length, 1, text);
    t.pass();
  });

  test(`no answer is joined if callers name their attempts, ${route}`, async (t) => {
    const { texts } = await play({ route, change: VersionChange.Back, survivors: 0, namesAttempt: true });
    for (const text of texts) t.is(versionsIn(text).length, 1, text);
    t.pass();
  });

  test(`tries of one request keep to one software version while it has servers, ${route}`, async (t) => {
    const { triesOfTwoVersions } = await play({ route, change: VersionChange.None, survivors: 3 });
    t.is(triesOfTwoVersions, 0);
  });

  test(`streams go on if their instances live on, ${route}`, async (t) => {
    const { texts } = await play({ route, change: VersionChange.None, survivors: 3 });
    t.true(texts.length >= STREAMS * 0.9, `only ${texts.length} went on`);
  });
}
