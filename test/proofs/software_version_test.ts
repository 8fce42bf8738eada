/** A stream goes on only at servers of the software version that began it, and does go on while there are some. */
import test from "ava";
import { Effect } from "effect";
import { CallerKind, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import { CrashForm, RestartForm } from "../stand_ins/backend_fleet.ts";
import type { RecordingSink } from "../stand_ins/recording_sink.ts";

const STREAMS = 24;
/** Time after which each stream has brought its first event and not its second, in ms. */
const FIRST_EVENT_MS = 60;
const RUN_MS = 400;
const OPTIONS = {
  instances: 3,
  crashForm: CrashForm.MidBody,
  restartForm: RestartForm.NewId,
  softwareVersions: ["v1", "v1.1"],
};

interface IBrokenStream {
  readonly name: string;
  readonly id: string;
  readonly sink: RecordingSink;
}

function versionsIn(text: string): string[] {
  return [...new Set([...text.matchAll(/data: (.*)/g)].map(([, version]) => version))];
}

/** Starts streams through all instances; each caller disconnects after the first event. */
function breakStreams(cluster: GatewayCluster, route: RoutePath): Effect.Effect<IBrokenStream[]> {
  return Effect.gen(function* () {
    const streams: IBrokenStream[] = [];
    for (let index = 0; index < STREAMS; index++) {
      const name = `stream-${index}`;
      const id = `first-${index}`;
      const caller = CallerKind.Program;
      const req = { route, name, id, caller, body: "x", leaveAfterMs: FIRST_EVENT_MS };
      const via = cluster.names[index % cluster.names.length];
      const sending = Effect.map(cluster.send(via, req), (sink) => streams.push({ name, id, sink }));
      yield* Effect.forkDetach(sending);
    }
    yield* cluster.advance(FIRST_EVENT_MS + 20);
    return streams.filter(({ sink }) => sink.text.includes("id: 1"));
  });
}

/** Takes up streams through other instances; returns the complete texts of those that went on. */
function resumeStreams(
  cluster: GatewayCluster,
  { route, streams, namesAttempt = true }: {
    route: RoutePath;
    streams: readonly IBrokenStream[];
    namesAttempt?: boolean;
  },
): Effect.Effect<string[]> {
  return Effect.gen(function* () {
    const texts: string[] = [];
    for (const [index, { name, id, sink }] of streams.entries()) {
      const caller = CallerKind.Program;
      const req = {
        route,
        name,
        caller,
        body: "x",
        lastEventId: "1",
        resumes: namesAttempt ? id : undefined,
      };
      const via = cluster.names[(index + 1) % cluster.names.length];
      const sending = Effect.map(cluster.send(via, req), (rest) => {
        if (rest.status === 200) texts.push(sink.text + rest.text);
      });
      yield* Effect.forkDetach(sending);
    }
    yield* cluster.advance(RUN_MS);
    return texts;
  });
}

for (const route of [RoutePath.ResumableStream, RoutePath.ResumableTurn]) {
  test(`an answer goes on at the software version that began it, ${route}`, async (t) => {
    await GatewayCluster.run(OPTIONS, (cluster) =>
      Effect.gen(function* () {
        const sinks: RecordingSink[] = [];
        for (let index = 0; index < STREAMS; index++) {
          const req = { route, name: `stream-${index}`, caller: CallerKind.Program, body: "x" };
          const sending = cluster.send(cluster.names[index % cluster.names.length], req);
          yield* Effect.forkDetach(Effect.map(sending, (sink) => sinks.push(sink)));
        }
        yield* cluster.advance(FIRST_EVENT_MS);
        for (const server of cluster.fleet.servers.slice(0, OPTIONS.softwareVersions.length)) {
          yield* Effect.forkDetach(cluster.fleet.crash(server));
        }
        yield* cluster.advance(RUN_MS);
        t.is(sinks.length, STREAMS);
        for (const { text } of sinks) t.is(versionsIn(text).length, 1, text);
        const runs = cluster.fleet.runs.length;
        t.true(runs > STREAMS, "no stream was interrupted");
        t.is(sinks.filter(({ isEnded }) => isEnded).length, STREAMS);
      }));
  });

  test(`no answer mixes software versions if half of the servers end at once, ${route}`, async (t) => {
    await GatewayCluster.run(OPTIONS, (cluster) =>
      Effect.gen(function* () {
        const sinks: RecordingSink[] = [];
        for (let index = 0; index < STREAMS; index++) {
          const req = {
            route,
            name: `stream-${index}`,
            id: `s${index}`,
            caller: CallerKind.Program,
            body: "x",
          };
          const sending = cluster.send(cluster.names[index % cluster.names.length], req);
          yield* Effect.forkDetach(Effect.map(sending, (sink) => sinks.push(sink)));
        }
        yield* cluster.advance(FIRST_EVENT_MS);
        for (const server of cluster.fleet.servers.slice(0, 4)) {
          yield* Effect.forkDetach(cluster.fleet.crash(server));
        }
        yield* cluster.advance(RUN_MS);
        t.is(sinks.length, STREAMS);
        for (const { text } of sinks) t.is(versionsIn(text).length, 1, text);
        // Only a stream that used up the route's two attempts may remain incomplete.
        const used = new Map<string, number>();
        for (const { requestId } of cluster.fleet.runs) used.set(requestId, (used.get(requestId) ?? 0) + 1);
        const exhausted = [...used.values()].filter((count) => count >= 2).length;
        t.true(sinks.filter(({ isEnded }) => !isEnded).length <= exhausted);
        t.true(sinks.filter(({ isEnded }) => isEnded).length >= STREAMS / 2);
      }));
  });

  test(`a stream that its caller takes up at another instance keeps its software version, ${route}`, async (t) => {
    await GatewayCluster.run(OPTIONS, (cluster) =>
      Effect.gen(function* () {
        const streams = yield* breakStreams(cluster, route);
        const texts = yield* resumeStreams(cluster, { route, streams });
        for (const text of texts) t.is(versionsIn(text).length, 1, text);
        t.is(texts.length, STREAMS);
      }));
  });

  test(`a stream whose caller names no attempt keeps its software version, ${route}`, async (t) => {
    await GatewayCluster.run(OPTIONS, (cluster) =>
      Effect.gen(function* () {
        const streams = yield* breakStreams(cluster, route);
        const texts = yield* resumeStreams(cluster, { route, streams, namesAttempt: false });
        for (const text of texts) t.is(versionsIn(text).length, 1, text);
        t.is(texts.length, STREAMS);
      }));
  });

  test(`a stream goes on after the instance that began it was killed, ${route}`, async (t) => {
    await GatewayCluster.run(OPTIONS, (cluster) =>
      Effect.gen(function* () {
        const streams = yield* breakStreams(cluster, route);
        yield* cluster.advance(200);
        yield* cluster.restart(cluster.names[0]);
        yield* cluster.advance(1000);
        const texts = yield* resumeStreams(cluster, { route, streams });
        for (const text of texts) t.is(versionsIn(text).length, 1, text);
        t.is(texts.length, STREAMS);
      }));
  });

  test(`a stream from before a restart of all instances goes on or is refused, ${route}`, async (t) => {
    await GatewayCluster.run(OPTIONS, (cluster) =>
      Effect.gen(function* () {
        const streams = yield* breakStreams(cluster, route);
        yield* cluster.advance(2000);
        yield* Effect.forEach(cluster.names, (name) => cluster.restart(name), { discard: true });
        yield* cluster.advance(3000);
        const texts = yield* resumeStreams(cluster, { route, streams });
        for (const text of texts) t.is(versionsIn(text).length, 1, text);
        t.true(texts.length >= STREAMS / 2, `only ${texts.length} went on`);
      }));
  });

  test(`a stream of unknown software version is refused and reaches no server, ${route}`, async (t) => {
    await GatewayCluster.run(OPTIONS, (cluster) =>
      Effect.gen(function* () {
        const sinks: RecordingSink[] = [];
        for (const resumes of [undefined, "never-seen"]) {
          const req = { route, name: "x", caller: CallerKind.Program, body: "x", lastEventId: "1", resumes };
          yield* Effect.forkDetach(
            Effect.map(cluster.send(cluster.names[0], req), (sink) => sinks.push(sink)),
          );
        }
        yield* cluster.advance(RUN_MS);
        t.deepEqual(sinks.map(({ status }) => status), [503, 503]);
        t.is(cluster.fleet.runs.length, 0);
      }));
  });
}
